package operator

import (
	"slices"

	"github.com/labstack/echo/v4"
)

// maxEventsShown is the maximum number of rows on the events page.
const maxEventsShown = 300

// eventsBody is the template data of the events page. The newest event is first.
type eventsBody struct {
	Filter EventFilter
	Events []LoggedEvent
}

func (s *Server) showEvents(c echo.Context) error {
	f, err := parseEventFilter(c)
	rows := s.recent.Select(f)
	slices.Reverse(rows)
	rows = rows[:min(len(rows), maxEventsShown)]
	return s.render(c, page{Name: "events", Refusal: errorResponse(err), Body: eventsBody{f, rows}})
}
