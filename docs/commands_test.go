// Package docs_test keeps the pages true to the code.
//
// # Usage
//
// A fenced block of a page that is marked as console is run: lines that begin with "$ " are commands, the lines after
// them are their output. All blocks of a page share one shell, so that a later command may use a variable or a process of
// an earlier one.
package docs_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shellLimit bounds the commands of one page. They take about 15 s, of which most is the time to join and the interval
// between writes of the status.
const shellLimit = 100 * time.Second

// step is one command of a page with the output that the page shows.
type step struct {
	line    int
	command string
	output  string
}

// TestCommands runs the commands of the pages against a stand-in of the platform. It guards against pages whose commands
// fail or print something else than the page says.
func TestCommands(t *testing.T) {
	binaries := buildPrograms(t)
	for _, page := range []string{"../README.md", "operations.md"} {
		t.Run(filepath.Base(page), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			text, err := os.ReadFile(page)
			is.NoErr(err)
			steps := parseSteps(string(text))
			is.True(len(steps) > 0)
			ports := newPorts()
			folder := t.TempDir()
			copyExamples(t, folder, ports)
			got := runSteps(t, folder, binaries, steps, ports)
			for i, s := range steps {
				if want := normalize(s.output); got[i] != want {
					t.Errorf("%s:%d: %s\nprinted:\n%s\nthe page has:\n%s", page, s.line, s.command, got[i], want)
				}
			}
		})
	}
}

func parseSteps(page string) []step {
	var steps []step
	isInside := false
	number := 0
	for line := range strings.Lines(page) {
		number++
		switch command, isCommand := strings.CutPrefix(line, "$ "); {
		case strings.HasPrefix(line, "```"):
			isInside = strings.TrimSpace(line) == "```console"
		case isInside && isCommand:
			steps = append(steps, step{line: number, command: command})
		case isInside && len(steps) > 0:
			steps[len(steps)-1].output += line
		}
	}
	return steps
}

func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	c := exec.Command("go", "build", "-o", folder+"/", "./cmd/...")
	c.Dir = ".."
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return folder
}

// runSteps returns the output of each command, normalized.
func runSteps(t *testing.T, folder, binaries string, steps []step, ports *portMap) []string {
	t.Helper()
	var script strings.Builder
	script.WriteString("exec 2>&1\n")
	for i, s := range steps {
		fmt.Fprintf(&script, "echo '@@@ %d'\n%s", i, ports.toFree(s.command))
	}
	ctx, cancel := context.WithTimeout(context.Background(), shellLimit)
	defer cancel()
	c := exec.CommandContext(ctx, "bash", "-c", script.String())
	c.Dir = folder
	c.Env = append(os.Environ(), "PATH="+binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // its own group, which includes background processes
	c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
	c.WaitDelay = time.Second
	out, err := c.CombinedOutput()
	if c.Process != nil {
		_ = syscall.Kill(-c.Process.Pid, syscall.SIGKILL) // no such process if the page ended all of its own
	}
	if err != nil {
		t.Errorf("shell: %v", err)
	}
	outputs := make([]string, len(steps))
	at := -1
	for line := range strings.Lines(string(out)) {
		if _, err := fmt.Sscanf(line, "@@@ %d\n", &at); err != nil && at >= 0 {
			outputs[at] += normalize(ports.toPage(line))
		}
	}
	return outputs
}

var (
	incarnation = regexp.MustCompile(`\b[0-9a-f]{16}\b`)
	instant     = regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	spaces      = regexp.MustCompile(` +`)
)

// normalize replaces what differs in each run: incarnations, times, and the width of columns.
func normalize(s string) string {
	s = incarnation.ReplaceAllString(s, "INCARNATION")
	s = instant.ReplaceAllString(s, "TIME")
	return spaces.ReplaceAllString(s, " ")
}

// portMap replaces the ports of the pages and examples by free ones, so that several tests can run on one machine.
type portMap struct {
	free map[string]string
	page map[string]string
}

var localAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

func newPorts() *portMap { return &portMap{free: map[string]string{}, page: map[string]string{}} }

func (p *portMap) toFree(s string) string {
	return localAddress.ReplaceAllStringFunc(s, func(a string) string {
		if p.free[a] == "" {
			free := freeAddress()
			p.free[a], p.page[free] = free, a
		}
		return p.free[a]
	})
}

func (p *portMap) toPage(s string) string {
	return localAddress.ReplaceAllStringFunc(s, func(a string) string {
		if page, ok := p.page[a]; ok {
			return page
		}
		return a
	})
}

// freeAddress returns an address that is free for TCP and UDP.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err) // no port is free
		}
		c, err := net.ListenPacket("udp", l.Addr().String())
		_ = l.Close()
		if err == nil {
			_ = c.Close()
			return l.Addr().String()
		}
	}
}

func copyExamples(t *testing.T, folder string, ports *portMap) {
	t.Helper()
	is := is.New(t)
	for _, file := range exampleFiles(t) {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		target := filepath.Join(folder, strings.TrimPrefix(file, "../"))
		is.NoErr(os.MkdirAll(filepath.Dir(target), 0o755))
		is.NoErr(os.WriteFile(target, []byte(ports.toFree(string(data))), 0o644))
	}
}

func exampleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	return files
}
