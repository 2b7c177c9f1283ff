package spread_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/spread"
	"cornellb/core/state/directory"
)

// TestAgesOfOneEra guards against endpoints that count as known by a reader that has not noticed a restore of the store,
// or that is of a version without eras: its revision may be far above the present ones.
func TestAgesOfOneEra(t *testing.T) {
	tests := map[string]struct {
		announced, known directory.Position
		want             bool // whether the endpoints count as known
	}{
		"same position":  {directory.Position{Era: 5, Revision: 9}, directory.Position{Era: 5, Revision: 9}, true},
		"known later":    {directory.Position{Era: 5, Revision: 9}, directory.Position{Era: 5, Revision: 10}, true},
		"known earlier":  {directory.Position{Era: 5, Revision: 9}, directory.Position{Era: 5, Revision: 8}, false},
		"era before":     {directory.Position{Era: 4, Revision: 900}, directory.Position{Era: 5, Revision: 9}, false},
		"era after":      {directory.Position{Era: 6, Revision: 2}, directory.Position{Era: 5, Revision: 9}, false},
		"no era":         {directory.Position{Revision: 9}, directory.Position{Era: 5, Revision: 9}, false},
		"no era at all":  {directory.Position{Revision: 9}, directory.Position{Revision: 9}, true},
		"no known era":   {directory.Position{Era: 5, Revision: 9}, directory.Position{Revision: 9}, false},
		"nothing known":  {directory.Position{Era: 5, Revision: 9}, directory.Position{}, false},
		"store is empty": {directory.Position{}, directory.Position{}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := plans(2)[1]
			p.ConfirmEndpoints(start.Add(-time.Minute))
			a := &spread.Announcement{Reader: 2, Sequence: 1, Era: c.announced.Era, Revision: c.announced.Revision}
			p.UpdateAges(start, a, 7, c.known)
			_, age := p.Ages(start)
			is.Equal(age == 0, c.want)
		})
	}
}
