package command_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cornellb/command"
	transport "cornellb/io/transport/platform"
	"cornellb/standin/direct"
	standin "cornellb/standin/platform"
)

var update = flag.Bool("update", false, "write the output of the commands to the expected files")

// TestCases runs the command lines in the file cmd of each folder in testdata/cases against a stand-in of the platform,
// started for that folder, and compares their output and exit codes with the file expected. In cmd, "fault MODE" sets
// the fault mode of the platform, "lose N" makes it drop the responses of the next N writes, and "put KIND NAME FILE"
// writes an object. $STORE is the URL of a stand-in of the direct return mode's store; "lose-answers N" makes it drop the
// responses of the next N writes, and "refuse STATUS" answer all calls with that status, 0 to end that. LONG is a name of
// 257 bytes. It guards against changes of messages, exit codes and results that operators and their scripts rely
// on.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			folder, err := filepath.Abs(folder)
			is.NoErr(err)
			got := runCase(t, folder)
			expected := filepath.Join(folder, "expected")
			if *update {
				is.NoErr(os.WriteFile(expected, []byte(got), 0o644))
			}
			want, err := os.ReadFile(expected)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func runCase(t *testing.T, folder string) string {
	t.Helper()
	is := is.New(t)
	commands, err := os.ReadFile(filepath.Join(folder, "cmd"))
	is.NoErr(err)
	server := standin.New(standin.Settings{})
	h := httptest.NewServer(server)
	defer h.Close()
	defer server.Close()
	store, err := direct.NewStore().Listen("127.0.0.1:0")
	is.NoErr(err)
	defer store.Close()
	replacer := strings.NewReplacer("$PLATFORM", h.URL, "$STORE_ADDRESS", store.Address, "$STORE", "http://"+store.Address,
		"LONG", strings.Repeat("n", 257))
	t.Chdir(folder)
	var out bytes.Buffer
	for line := range strings.Lines(string(commands)) {
		words := strings.Fields(line)
		fmt.Fprintf(&out, "$ %s", line)
		switch words[0] {
		case "fault":
			server.SetFault(standin.Fault{Mode: words[1]})
		case "lose":
			count, err := strconv.Atoi(words[1])
			is.NoErr(err)
			server.SetFault(standin.Fault{LoseWrites: count})
		case "lose-answers", "refuse":
			number, err := strconv.Atoi(words[1])
			is.NoErr(err)
			if words[0] == "refuse" {
				store.SetFault(direct.Fault{Status: number})
			} else {
				store.LoseWriteAnswers(number)
			}
		case "put":
			value, err := os.ReadFile(words[3])
			is.NoErr(err)
			client := transport.NewClient(h.URL, 0, transport.SystemClock{})
			_, err = client.Put(context.Background(), words[1], words[2], value, 0)
			is.NoErr(err)
			client.Close()
		case "cornellb":
			for i := range words {
				words[i] = replacer.Replace(words[i])
			}
			code := command.Execute(words[1:], &out, &out)
			fmt.Fprintf(&out, "exit %d\n", code)
		default:
			t.Fatalf("cmd: unknown command %q", line)
		}
	}
	return strings.NewReplacer(h.URL, "$PLATFORM", "http://"+store.Address, "$STORE", store.Address, "$STORE_ADDRESS").Replace(
		out.String())
}
