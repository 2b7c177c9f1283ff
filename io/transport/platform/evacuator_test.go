package platform

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// scriptedEvacuations is an EvacuationStore with one object.
type scriptedEvacuations struct {
	exists  bool
	answers []string // to the next calls: "lost after", "lost before" the effect, "limited", "refused"; then all succeed
	writes  int
	reads   int
}

// next returns whether the next call has an effect, and its error.
func (s *scriptedEvacuations) next() (bool, error) {
	if len(s.answers) == 0 {
		return true, nil
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	switch a {
	case "limited":
		return false, &RateLimitError{Operation: "test"}
	case "refused":
		return false, &RequestError{Operation: "test", Status: 400}
	}
	return a == "lost after", &UnavailableError{Operation: "test", Err: errors.New(a)}
}

func (s *scriptedEvacuations) write(exists bool, other error) error {
	s.writes++
	hasEffect, err := s.next()
	if err == nil && s.exists == exists {
		return other
	}
	if hasEffect {
		s.exists = exists
	}
	return err
}

func (s *scriptedEvacuations) CreateEvacuation(context.Context, string) error {
	return s.write(true, &ConflictError{})
}

func (s *scriptedEvacuations) DeleteEvacuation(context.Context, string) error {
	return s.write(false, &NotFoundError{})
}

func (s *scriptedEvacuations) HasEvacuation(context.Context, string) (bool, error) {
	s.reads++
	_, err := s.next()
	return s.exists, err
}

// immediately is a clock whose timers have ended.
type immediately struct{ SystemClock }

func (immediately) After(time.Duration) <-chan time.Time { return time.After(0) }

// TestLostAnswersOfEvacuations guards against a write that is repeated although a read shows that it took effect, and
// against one that is reported as done although it did not.
func TestLostAnswersOfEvacuations(t *testing.T) {
	tests := map[string]struct {
		answers       []string
		isSet         bool // already as wanted
		isChanged     bool
		writes, reads int
	}{
		"answered":                    {isChanged: true, writes: 1},
		"already":                     {isSet: true, writes: 1},
		"lost after the effect":       {answers: []string{"lost after"}, isChanged: true, writes: 1, reads: 1},
		"lost before the effect":      {answers: []string{"lost before"}, isChanged: true, writes: 2, reads: 1},
		"reads lost too":              {answers: []string{"lost after", "lost", "lost"}, isChanged: true, writes: 1, reads: 3},
		"lost twice":                  {answers: []string{"lost before", "", "lost after"}, isChanged: true, writes: 2, reads: 3},
		"limited":                     {answers: []string{"limited", "limited"}, isChanged: true, writes: 3},
		"limited, then lost, already": {answers: []string{"limited", "lost after"}, isSet: true, isChanged: true, writes: 2, reads: 1},
	}
	for name, c := range tests {
		for direction, isEvacuated := range map[string]bool{"evacuate": true, "restore": false} {
			t.Run(name+"/"+direction, func(t *testing.T) {
				is := is.New(t)
				s := &scriptedEvacuations{exists: c.isSet == isEvacuated, answers: c.answers}
				e := &Evacuator{Store: s, Clock: immediately{}}
				isChanged, err := e.write(context.Background(), "attiki-1", isEvacuated)
				is.NoErr(err)
				is.Equal(s.exists, isEvacuated)
				is.Equal(isChanged, c.isChanged)
				is.Equal([]int{s.writes, s.reads}, []int{c.writes, c.reads})
			})
		}
	}
}

// TestUnsettledEvacuation guards against a write without an answer that is reported as one without an effect, and against
// a refused one that is repeated.
func TestUnsettledEvacuation(t *testing.T) {
	is := is.New(t)
	s := &scriptedEvacuations{answers: []string{"lost after", "refused"}}
	_, err := (&Evacuator{Store: s, Clock: immediately{}}).Evacuate(context.Background(), "attiki-1")
	var unknown *EvacuationUnknownError
	is.True(errors.As(err, &unknown))
	s = &scriptedEvacuations{answers: []string{"refused"}}
	_, err = (&Evacuator{Store: s, Clock: immediately{}}).Restore(context.Background(), "attiki-1")
	is.True(err != nil && !errors.As(err, &unknown))
	is.Equal(s.writes, 1)
}
