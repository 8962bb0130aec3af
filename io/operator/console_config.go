package operator

import (
	"encoding/json"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	core "rosemarygap/core/operator"
	"rosemarygap/core/status"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Fields of the configuration form beside the document's own.
const (
	fieldRevision = "edit-revision"
	fieldChangeID = "edit-change-id"
	// fieldBase is the document that the edit began with, as JSON.
	fieldBase   = "edit-base"
	fieldAction = "action"
)

// Actions of the configuration form. Those that end in a colon are followed
// by the path of a list or an element.
const (
	actionCheck  = "check"
	actionApply  = "apply"
	actionAdd    = "add:"
	actionRemove = "remove:"
	actionRebase = "rebase"
)

// configBody is what the configuration page shows.
type configBody struct {
	Revision, ChangeID, Base string
	Document                 fieldset
	// Changes are the fields in which a rebased form differs from the
	// configuration in force.
	Changes []core.Difference
}

func (s *Server) showConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		a = &core.AcceptedConfig{Document: core.Document{Format: core.Format}}
	}
	form, err := startEdit(a)
	if err != nil {
		return err
	}
	return s.renderConfig(c, form, nil, "")
}

// startEdit returns a form for an edit of a.
func startEdit(a *core.AcceptedConfig) (url.Values, error) {
	b, err := json.Marshal(a.Document)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	form, err := formOfText(b)
	if err != nil {
		return nil, err
	}
	setEdit(form, a.Revision, b)
	return form, nil
}

// setEdit makes form an edit of the document base at a revision.
func setEdit(form url.Values, revision int64, base []byte) {
	form.Set(fieldRevision, strconv.FormatInt(revision, 10))
	form.Set(fieldChangeID, uuid.NewString())
	form.Set(fieldBase, string(base))
}

// postConfig acts on the form and shows it again with what was typed.
func (s *Server) postConfig(c echo.Context) error {
	form, action := c.Request().PostForm, c.FormValue(fieldAction)
	switch {
	case action == actionApply:
		return s.applyForm(c, form)
	case action == actionCheck:
		_, faults := core.Parse(documentOf(form))
		if len(faults) == 0 {
			return s.renderConfig(c, form, nil, "config-valid")
		}
		r := refused(status.ErrConfigInvalid)
		r.Faults = faults
		return s.renderConfig(c, form, r, "")
	case strings.HasPrefix(action, actionAdd):
		list := strings.TrimPrefix(action, actionAdd)
		form.Set(list+countSuffix, strconv.Itoa(count(form, list)+1))
	case strings.HasPrefix(action, actionRemove):
		form = withoutElement(form, strings.TrimPrefix(action, actionRemove))
	case action == actionRebase:
		return s.rebaseForm(c, form)
	default:
		return s.renderConfig(c, form, refused(status.At(status.ErrOutOfRange, fieldAction, action)), "")
	}
	return s.renderConfig(c, form, nil, "")
}

// applyForm sends the form's document the way of every change.
func (s *Server) applyForm(c echo.Context, form url.Values) error {
	if !s.mayChange(c) {
		return s.renderConfig(c, form, refused(s.unauthorized(c.Request())), "")
	}
	rev, err := strconv.ParseInt(form.Get(fieldRevision), 10, 64)
	if err != nil {
		err = status.At(status.ErrOutOfRange, fieldRevision, form.Get(fieldRevision))
		return s.renderConfig(c, form, refused(err), "")
	}
	m := editMessage{rev, form.Get(fieldChangeID), documentOf(form)}
	accepted, refusal := s.change(c.Request().Context(), m)
	if refusal != nil {
		return s.renderConfig(c, form, refusal, "")
	}
	if form, err = startEdit(accepted); err != nil {
		return err
	}
	return s.renderConfig(c, form, nil, "config-accepted")
}

// rebaseForm puts what was changed in the form on top of the configuration in
// force. Fields that only others changed keep their new values.
func (s *Server) rebaseForm(c echo.Context, form url.Values) error {
	now := s.control.Snapshot().Config
	if now == nil {
		return s.renderConfig(c, form, refused(status.ErrNoConfiguration), "")
	}
	current, err := json.Marshal(now.Document)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	merged, err := core.Merge([]byte(form.Get(fieldBase)), current, documentOf(form))
	if err != nil {
		return s.renderConfig(c, form, refused(err), "")
	}
	if form, err = formOfText(merged); err != nil {
		return err
	}
	setEdit(form, now.Revision, current)
	return s.renderConfig(c, form, nil, "config-rebased")
}

// documentOf returns the form's document as JSON. A form always encodes.
func documentOf(form url.Values) []byte {
	b, _ := json.Marshal(treeOfForm(form, reflect.TypeFor[core.Document](), ""))
	return b
}

// withoutElement removes an element such as services[1].
func withoutElement(form url.Values, element string) url.Values {
	list, rest, _ := strings.Cut(element, "[")
	i, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	if err != nil {
		return form
	}
	tree := treeOfForm(form, reflect.TypeFor[core.Document](), "")
	removeElement(tree, list, i)
	out := formOfTree(tree)
	for _, f := range []string{fieldRevision, fieldChangeID, fieldBase} {
		out.Set(f, form.Get(f))
	}
	return out
}

func (s *Server) renderConfig(c echo.Context, form url.Values, r *ErrorResponse, done string) error {
	v := &formView{form: form, help: documentHelp()}
	if r != nil {
		v.faults = r.Faults
	}
	body := configBody{Revision: form.Get(fieldRevision), ChangeID: form.Get(fieldChangeID),
		Base: form.Get(fieldBase), Document: v.fieldset(reflect.TypeFor[core.Document](), "", "document")}
	if done == "config-rebased" {
		body.Changes = core.DiffJSON([]byte(body.Base), documentOf(form))
	}
	return s.render(c, page{Name: "config", Refusal: r, Done: done, Body: body})
}
