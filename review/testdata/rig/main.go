// Command rig runs the cases of the second review against the forwarder. It starts the balancers as separate processes
// with the command of the deploy file, and plays the platform's store, its routers, the endpoints and the clients itself,
// on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
)

// hasTrouble is whether to cause the disruption.
var hasTrouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(w *world) error{
	"pause":    runPause,
	"moved":    runMoved,
	"store":    runStore,
	"priority": runPriority,
	"queue":    runQueue,
}

func main() {
	runtime.LockOSThread() // the balancers end with the thread that has started them
	program := flag.String("program", "target/cornellb", "the program under review")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "usage: rig [--program FILE] [--record FILE]", slices.Sorted(maps.Keys(cases)))
		os.Exit(2)
	}
	os.Exit(play(run, *program, *record))
}

func play(run func(w *world) error, program, record string) int {
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer w.close()
	w.logf("disruption: %v", hasTrouble)
	if err = run(w); err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	w.mu.Lock()
	broken, counts := slices.Clone(w.broken), fmt.Sprint(w.counts)
	w.mu.Unlock()
	w.logf("counts: %s", counts)
	w.logf("times that the rule was broken: %d", len(broken))
	fmt.Println("counts:", counts)
	fmt.Println("times that the rule was broken:", len(broken))
	for _, text := range broken[:min(len(broken), 5)] {
		fmt.Println(text)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
