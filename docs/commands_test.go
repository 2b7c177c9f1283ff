// Package docs_test checks that the pages agree with the code, and that the packages keep to the layers of the design.
//
// # Usage
//
// A fenced block of a page that is marked as console is run: lines that begin with "$ " are commands, the lines after
// them are their output. All blocks of a page share one shell, so that a later command may use a variable or a process
// of an earlier one.
package docs_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shellTimeout limits the commands of one page. They take about 15 s, most of which is the time to join and the
// interval between writes of the status.
const shellTimeout = 100 * time.Second

// step is one command of a page with the output that the page shows.
type step struct {
	line    int
	command string
	output  string
}

// TestCommands runs the commands of the pages against a stand-in of the platform. It guards against commands that fail
// or print something else than the page shows.
func TestCommands(t *testing.T) {
	binaries := buildPrograms(t)
	for _, page := range []string{"../README.md", "OPERATIONS.md"} {
		t.Run(filepath.Base(page), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			text, err := os.ReadFile(page)
			is.NoErr(err)
			steps := parseSteps(string(text))
			is.True(len(steps) > 0)
			examples := readExamples(t)
			ports := newPorts(append(slices.Collect(maps.Values(examples)), string(text))...)
			folder := t.TempDir()
			for file, example := range examples {
				target := filepath.Join(folder, file)
				is.NoErr(os.MkdirAll(filepath.Dir(target), 0o755))
				is.NoErr(os.WriteFile(target, []byte(ports.toFree(example)), 0o644))
			}
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

// runSteps runs the commands in one shell and returns the normalized output of each.
func runSteps(t *testing.T, folder, binaries string, steps []step, ports *portMap) []string {
	t.Helper()
	var script strings.Builder
	script.WriteString("exec 2>&1\ntrap 'kill $(jobs -p) 2>/dev/null; wait' EXIT\n")
	for i, s := range steps {
		fmt.Fprintf(&script, "echo '@@@ %d'\n%s", i, ports.toFree(s.command))
	}
	ctx, cancel := context.WithTimeout(context.Background(), shellTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, "bash", "-c", script.String())
	c.Dir = folder
	c.Env = append(os.Environ(), "PATH="+binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that Cancel also kills background processes
	c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
	c.WaitDelay = 5 * time.Second
	out, err := c.CombinedOutput()
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
	timestamp   = regexp.MustCompile(`\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	spaces      = regexp.MustCompile(` +`)
)

// normalize replaces what differs between runs: incarnations, times, and the width of columns.
func normalize(s string) string {
	s = incarnation.ReplaceAllString(s, "INCARNATION")
	s = timestamp.ReplaceAllString(s, "TIME")
	return spaces.ReplaceAllString(s, " ")
}

// portMap replaces the addresses of the pages and examples by ones with free ports, so that several tests can run on
// one machine.
type portMap struct {
	free map[string]string // free address by address on the page
	page map[string]string // address on the page by free address
}

var localAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// newPorts maps the loopback addresses in the texts to free ones. The mapping keeps their order, because endpoints are
// printed in order of address.
func newPorts(texts ...string) *portMap {
	addresses := localAddress.FindAllString(strings.Join(texts, "\n"), -1)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	p := &portMap{free: map[string]string{}, page: map[string]string{}}
	for i, free := range freeAddresses(len(addresses)) {
		p.free[addresses[i]], p.page[free] = free, addresses[i]
	}
	return p
}

func (p *portMap) toFree(s string) string {
	return localAddress.ReplaceAllStringFunc(s, func(a string) string { return p.free[a] })
}

func (p *portMap) toPage(s string) string {
	return localAddress.ReplaceAllStringFunc(s, func(a string) string {
		if page, ok := p.page[a]; ok {
			return page
		}
		return a
	})
}

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP, in order of port.
func freeAddresses(count int) []string {
	var ports []int
	for len(ports) < count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err) // no port is free
		}
		defer l.Close() // closed only at the return, so that no port is chosen twice
		c, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			_ = c.Close()
			ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		}
	}
	slices.Sort(ports)
	var addresses []string
	for _, port := range ports {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	return addresses
}

// readExamples returns the content of the example files by the name that the pages use.
func readExamples(t *testing.T) map[string]string {
	t.Helper()
	examples := map[string]string{}
	for _, file := range exampleFiles(t) {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		examples[strings.TrimPrefix(file, "../")] = string(data)
	}
	return examples
}

func exampleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	return files
}
