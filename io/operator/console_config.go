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

// Fields of the configuration form in addition to those of the document.
const (
	fieldRevision = "edit-revision"
	fieldChangeID = "edit-change-id"
	// fieldBase is the document on which the edit is based, as JSON.
	fieldBase   = "edit-base"
	fieldAction = "action"
)

// Actions of the configuration form. An action that ends in a colon is followed
// by the path of a list or of a list element.
const (
	actionCheck  = "check"
	actionApply  = "apply"
	actionAdd    = "add:"
	actionRemove = "remove:"
	actionRebase = "rebase"
)

// configBody is the template data of the configuration page.
type configBody struct {
	Revision, ChangeID, Base string
	Document                 fieldset
	// Changes lists the fields in which a rebased form differs from the
	// configuration in force.
	Changes []core.Difference
}

func (s *Server) showConfig(c echo.Context) error {
	a := s.control.Snapshot().Config
	if a == nil {
		a = &core.AcceptedConfig{Document: core.Document{Format: core.Format}}
	}
	form, err := newEditForm(a)
	if err != nil {
		return err
	}
	return s.renderConfig(c, form, nil, "")
}

// newEditForm returns a form for a new edit of a.
func newEditForm(a *core.AcceptedConfig) (url.Values, error) {
	b, err := json.Marshal(a.Document)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	form, err := jsonToForm(b)
	if err != nil {
		return nil, err
	}
	setEditFields(form, a.Revision, b)
	return form, nil
}

// setEditFields sets the fields that make form a new edit of the document base
// at the given revision.
func setEditFields(form url.Values, revision int64, base []byte) {
	form.Set(fieldRevision, strconv.FormatInt(revision, 10))
	form.Set(fieldChangeID, uuid.NewString())
	form.Set(fieldBase, string(base))
}

// postConfig performs the action of the form and renders the form again with
// the operator's input.
func (s *Server) postConfig(c echo.Context) error {
	form, action := c.Request().PostForm, c.FormValue(fieldAction)
	switch {
	case action == actionApply:
		return s.applyForm(c, form)
	case action == actionCheck:
		_, faults := core.Parse(documentFromForm(form))
		if len(faults) == 0 {
			return s.renderConfig(c, form, nil, "config-valid")
		}
		r := errorResponse(status.ErrConfigInvalid)
		r.Faults = faults
		return s.renderConfig(c, form, r, "")
	case strings.HasPrefix(action, actionAdd):
		list := strings.TrimPrefix(action, actionAdd)
		form.Set(list+countSuffix, strconv.Itoa(listLength(form, list)+1))
	case strings.HasPrefix(action, actionRemove):
		form = withoutElement(form, strings.TrimPrefix(action, actionRemove))
	case action == actionRebase:
		return s.rebaseForm(c, form)
	default:
		return s.renderConfig(c, form, errorResponse(status.At(status.ErrOutOfRange, fieldAction, action)), "")
	}
	return s.renderConfig(c, form, nil, "")
}

// applyForm applies the form's document as a configuration change.
func (s *Server) applyForm(c echo.Context, form url.Values) error {
	if !s.isAuthorized(c) {
		return s.renderConfig(c, form, errorResponse(s.rejectUnauthorized(c.Request())), "")
	}
	rev, err := strconv.ParseInt(form.Get(fieldRevision), 10, 64)
	if err != nil {
		err = status.At(status.ErrOutOfRange, fieldRevision, form.Get(fieldRevision))
		return s.renderConfig(c, form, errorResponse(err), "")
	}
	req := editRequest{rev, form.Get(fieldChangeID), documentFromForm(form)}
	accepted, errResp := s.applyChange(c.Request().Context(), req)
	if errResp != nil {
		return s.renderConfig(c, form, errResp, "")
	}
	if form, err = newEditForm(accepted); err != nil {
		return err
	}
	return s.renderConfig(c, form, nil, "config-accepted")
}

// rebaseForm reapplies the changes that were made in the form to the
// configuration in force. Fields that only other edits changed keep their new
// values.
func (s *Server) rebaseForm(c echo.Context, form url.Values) error {
	inForce := s.control.Snapshot().Config
	if inForce == nil {
		return s.renderConfig(c, form, errorResponse(status.ErrNoConfiguration), "")
	}
	current, err := json.Marshal(inForce.Document)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	merged, err := core.Merge([]byte(form.Get(fieldBase)), current, documentFromForm(form))
	if err != nil {
		return s.renderConfig(c, form, errorResponse(err), "")
	}
	if form, err = jsonToForm(merged); err != nil {
		return err
	}
	setEditFields(form, inForce.Revision, current)
	return s.renderConfig(c, form, nil, "config-rebased")
}

// documentFromForm returns the form's document as JSON. If a number can't be
// encoded, such as one with leading zeros, the result is empty, which the
// validation reports as malformed JSON.
func documentFromForm(form url.Values) []byte {
	b, _ := json.Marshal(formToTree(form, reflect.TypeFor[core.Document](), ""))
	return b
}

// withoutElement returns the form without a list element such as services[1].
func withoutElement(form url.Values, element string) url.Values {
	list, rest, _ := strings.Cut(element, "[")
	i, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	if err != nil {
		return form
	}
	tree := formToTree(form, reflect.TypeFor[core.Document](), "")
	removeElement(tree, list, i)
	out := treeToForm(tree)
	for _, f := range []string{fieldRevision, fieldChangeID, fieldBase} {
		out.Set(f, form.Get(f))
	}
	return out
}

func (s *Server) renderConfig(c echo.Context, form url.Values, r *ErrorResponse, done string) error {
	builder := &formBuilder{form: form, help: documentHelp()}
	if r != nil {
		builder.faults = r.Faults
	}
	body := configBody{Revision: form.Get(fieldRevision), ChangeID: form.Get(fieldChangeID),
		Base: form.Get(fieldBase), Document: builder.fieldset(reflect.TypeFor[core.Document](), "", "document")}
	if done == "config-rebased" {
		body.Changes = core.DiffJSON([]byte(body.Base), documentFromForm(form))
	}
	return s.render(c, page{Name: "config", Refusal: r, Done: done, Body: body})
}
