package command

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"cornellb/io/transport/operator"
)

// TestFleetWatcher guards against a watch that repeats what has not changed, or hides that an evacuation was lifted or a
// balancer no longer answers, and against names that control the terminal.
func TestFleetWatcher(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := &fleetWatcher{out: &out, lastLines: make(map[string]string)}
	balancer := func(id string, evacuated ...string) operator.Balancer {
		return operator.Balancer{
			BalancerMember: operator.BalancerMember{ID: id, FailureDomain: "attiki-1"},
			Status:         &operator.BalancerStatus{IsReady: true, Version: 7, Evacuated: evacuated},
		}
	}
	silent := balancer("b")
	silent.Status = nil
	steps := []struct {
		list []operator.Balancer
		want string
	}{
		{[]operator.Balancer{balancer("a"), balancer("b")}, "attiki-1: 2 of 2 balancers ready, version 7 on 2\n"},
		{[]operator.Balancer{balancer("a"), balancer("b")}, ""},
		{[]operator.Balancer{balancer("a", "x\n"), balancer("b")},
			"evacuated \"x\\n\": in force on 1 of 2 balancers that answer, not on b\n"},
		{[]operator.Balancer{balancer("a", "x\n"), balancer("b", "x\n")},
			"evacuated \"x\\n\": in force on 2 of 2 balancers that answer\n"},
		{[]operator.Balancer{balancer("a"), silent}, "attiki-1: 1 of 2 balancers ready, version 7 on 1\n" +
			"evacuated \"x\\n\": no longer\nno answer: b\n"},
		{[]operator.Balancer{balancer("a"), silent}, ""},
	}
	for _, s := range steps {
		out.Reset()
		w.print(operator.Summarize(s.list))
		is.Equal(out.String(), s.want)
	}
}
