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
	fieldAction   = "action"
)

// Actions of the configuration form. The last three are followed by a list,
// an element, or a revision.
const (
	actionCheck  = "check"
	actionApply  = "apply"
	actionAdd    = "add:"
	actionRemove = "remove:"
	actionRebase = "rebase:"
)

// configBody is what the configuration page shows.
type configBody struct {
	Revision, ChangeID string
	Document           fieldset
}

func (s *Server) showConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		a = &core.Accepted{Document: core.Document{Format: core.Format}}
	}
	form, err := formOf(a.Document)
	if err != nil {
		return errors.Wrap(err, "show configuration")
	}
	form.Set(fieldRevision, strconv.FormatInt(a.Revision, 10))
	form.Set(fieldChangeID, uuid.NewString())
	return s.renderConfig(c, form, nil, "")
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
	case strings.HasPrefix(action, actionRebase):
		form.Set(fieldRevision, strings.TrimPrefix(action, actionRebase))
		form.Set(fieldChangeID, uuid.NewString())
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
	form, err = formOf(accepted.Document)
	if err != nil {
		return errors.Wrap(err, "show configuration")
	}
	form.Set(fieldRevision, strconv.FormatInt(accepted.Revision, 10))
	form.Set(fieldChangeID, uuid.NewString())
	return s.renderConfig(c, form, nil, "config-accepted")
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
	for _, f := range []string{fieldRevision, fieldChangeID} {
		out.Set(f, form.Get(f))
	}
	return out
}

func (s *Server) renderConfig(c echo.Context, form url.Values, r *Refusal, done string) error {
	v := &formView{form: form, help: documentHelp()}
	if r != nil {
		v.faults = r.Faults
	}
	body := configBody{form.Get(fieldRevision), form.Get(fieldChangeID),
		v.fieldset(reflect.TypeFor[core.Document](), "", "document")}
	return s.render(c, page{Name: "config", Refusal: r, Done: done, Body: body})
}
