package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// balancer is one machine with the process of deploy/system.toml.
type balancer struct {
	scene *scene
	name  string
	zone  string
	ip    netip.Addr
	file  string

	mu       sync.Mutex
	command  *exec.Cmd
	started  time.Time
	isReader bool
	ended    chan struct{}
}

const settingsText = `node_name: "%[1]s"
role: "balancer"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: "%[2]s"
zone: "%[3]s"
region: "attiki"
listen:
  datagram_addr: "%[2]s:%[4]d"
  ready_addr: "%[2]s:%[5]d"
  control: "%[2]s:%[6]d"
internal_port_range:
  - %[7]d
  - %[8]d
seeds:
%[9]sbootstrap: true
heartbeat_ms: 1200
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  rollback_slack_ms: 250
  max_stretch_ms: 12000
  recovery_s: 12
  reorder_ms: 2000
  max_flow_s: 60
hash: "steady"
encap: "echo"
platform:
  address: "%[10]s"
  encap: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  max_value_bytes: 1048576
  min_ttl_ms: 1000
`

func (s *scene) addBalancer(name, zone string, ip netip.Addr, seeds []netip.Addr) error {
	var list strings.Builder
	for _, a := range seeds {
		fmt.Fprintf(&list, "  - \"%s:%d\"\n", a, s.port+2)
	}
	b := &balancer{scene: s, name: name, zone: zone, ip: ip, file: filepath.Join(s.folder, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, ip, zone, s.port, s.port+1, s.port+2, s.port+10, s.port+25, list.String(), s.storeAddresses()[len(s.balancers)])
	s.balancers = append(s.balancers, b)
	return os.WriteFile(b.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (b *balancer) start() error {
	c := exec.Command("target/cornellb", "forwarder")
	c.Env = []string{"CORNELLB_BOOT=" + b.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.scene.folder, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stderr = log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.mu.Lock()
	b.command, b.started, b.ended, b.isReader = c, time.Now(), ended, true
	b.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			line := lines.Text()
			_, _ = fmt.Fprintln(log, line)
			if strings.Contains(line, `"msg":"reader changed"`) {
				b.mu.Lock()
				b.isReader = strings.Contains(line, `"is_reader":true`)
				b.mu.Unlock()
			}
		}
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (b *balancer) signal(s os.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.command != nil {
		_ = b.command.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (b *balancer) kill() {
	b.mu.Lock()
	c, ended := b.command, b.ended
	b.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}

func (b *balancer) hasStartedBefore(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started.Before(t)
}

func (b *balancer) reads() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isReader
}
