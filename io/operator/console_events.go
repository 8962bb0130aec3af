package operator

import (
	"slices"

	"github.com/labstack/echo/v4"
)

// maxEventsShown bounds the rows of the events page.
const maxEventsShown = 300

// eventsBody is what the events page shows, newest event first.
type eventsBody struct {
	Filter EventFilter
	Events []LoggedEvent
}

func (s *Server) showEvents(c echo.Context) error {
	f, err := filterOf(c)
	rows := s.recent.Select(f)
	slices.Reverse(rows)
	rows = rows[:min(len(rows), maxEventsShown)]
	return s.render(c, page{Name: "events", Refusal: refused(err), Body: eventsBody{f, rows}})
}
