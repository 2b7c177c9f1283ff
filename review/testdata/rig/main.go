// Command rig runs the cases of the second review against the forwarder. It starts the balancers as separate processes
// with the command of the deploy file, and plays the platform's store, its routers, the endpoints and the clients itself,
// on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// hasTrouble is whether to cause the disruption.
var hasTrouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(w *world) error{
	"pause":   runPause,
	"moved":   runMoved,
	"store":   runStore,
	"foreign": runForeign,
	"queue":   runQueue,
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
	go w.stopEarly()
	w.logf("disruption: %v", hasTrouble)
	if err = run(w); err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	if err = w.check(); err != nil {
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

// maxTime is the longest time that a case may run.
const maxTime = 110 * time.Second

// stopEarly ends the run with exit code 2 after a signal, or after maxTime.
func (w *world) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	reason := "time limit"
	select {
	case s := <-signals:
		reason = s.String()
	case <-time.After(maxTime):
	}
	w.logf("the case could not run: %s", reason)
	fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	w.close()
	os.Exit(2)
}

// check returns an error if a balancer has ended by itself, or if no request was answered.
func (w *world) check() error {
	for _, b := range w.balancers {
		select {
		case <-b.ended:
			return fmt.Errorf("%s has ended", b.node)
		default:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts["requests answered"] == 0 {
		return errors.New("no request was answered")
	}
	return nil
}
