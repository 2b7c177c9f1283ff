package process_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// maxParallelFleets limits the tests that run in parallel, because each fleet has up to 12 processes.
	maxParallelFleets = "3"
	buildTimeout      = 5 * time.Minute
	commandTimeout    = 30 * time.Second
	maxPrintedLog     = 3000 // bytes of each log that a failed test prints
	// Ports are taken below the range of the kernel's ephemeral ports, so that no outgoing connection takes the port of
	// a process that is being replaced.
	firstPort, lastPort = 12000, 32000
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelFleets); err != nil {
		panic(err)
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "cornellb-process")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binaries = folder
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", folder, "cornellb/cmd/cornellb", "cornellb/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running program whose output goes to a file.
type process struct {
	name    string
	command *exec.Cmd
	logFile string
	done    chan struct{} // closed when the process has ended
}

func startProcess(t *testing.T, folder, name, program string, args ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(folder, name+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p := &process{
		name: name, command: exec.Command(filepath.Join(binaries, program), args...), logFile: log.Name(),
		done: make(chan struct{}),
	}
	p.command.Stdout, p.command.Stderr = log, log
	// The kernel ends the process if the test binary is killed, for example by its timeout.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.command.Wait() // the exit code is read from ProcessState
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) } // no effect on an ended process

// kill ends the process at once, also if it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitExit fails the test if the process does not end by itself with exit code 0.
func (p *process) awaitExit(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case <-p.done:
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			t.Fatalf("%s: %v, want exit code 0", p.name, p.command.ProcessState)
		}
	case <-time.After(limit):
		t.Fatalf("%s: still running after %v, want exit code 0", p.name, limit)
	}
}

func (p *process) printLog(t *testing.T) {
	content, err := os.ReadFile(p.logFile)
	if err != nil {
		t.Log(err)
		return
	}
	if len(content) > maxPrintedLog {
		content = append([]byte("... "), content[len(content)-maxPrintedLog:]...)
	}
	t.Logf("log of %s:\n%s", p.name, bytes.TrimSpace(content))
}

// runCommand runs cornellb to its end and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(binaries, "cornellb"), args...)
	out, err := c.CombinedOutput()
	if c.ProcessState == nil {
		t.Error(err)
		return string(out), -1
	}
	return string(out), c.ProcessState.ExitCode()
}

// nextPort starts at a port that depends on the process, so that several test runs on a machine rarely choose the same
// ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// freeAddress returns a loopback address whose port is free for TCP and UDP, and that it did not return before.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", a)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return a
	}
	t.Fatal("no free port")
	return ""
}

// eventually fails the test if check still returns an error after the limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: timed out after %v: %v", what, limit, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
