// Package standin holds what the second review's cases share: gateways as separate processes, stand-ins for caches, the
// command channel and web servers on loopback addresses, and the record of what was sent, answered and run.
package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"poppymill/internal/clients"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // false: the same without the disruption
	Dir     string // temporary folder

	ctx    context.Context // cancelled at the end
	cancel context.CancelFunc
	tools  sync.WaitGroup // commands that run
	mu     sync.Mutex
	record *os.File
	start  time.Time
	ends   []func()
	ended  bool
}

// Run runs a case, writes its record to a file, ends all that it started, and exits.
func Run(recordPath string, limit time.Duration, body func(c *Case) (broken bool, err error)) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(NotRun)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, record: record, start: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- result{err: fmt.Errorf("panic: %v", p)}
			}
		}()
		broken, err := body(c)
		done <- result{broken, err}
	}()
	status, text := NotRun, ""
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			text = "not run: " + r.err.Error()
		case r.broken:
			status, text = Broken, "the rule was broken"
		default:
			status, text = Held, "the rule held"
		}
	case <-time.After(limit):
		text = fmt.Sprintf("not run: not over after %v", limit)
	case <-signals:
		text = "not run: told to end"
	}
	c.Log("%s (disruption: %t)", text, c.Trouble)
	fmt.Println(text)
	c.end()
	record.Close()
	os.RemoveAll(dir)
	os.Exit(status)
}

// OnEnd registers what is to be done at the end of the run, the last first.
func (c *Case) OnEnd(do func()) {
	c.mu.Lock()
	c.ends = append(c.ends, do)
	ended := c.ended
	c.mu.Unlock()
	if ended {
		do()
	}
}

func (c *Case) end() {
	c.mu.Lock()
	c.ended = true
	ends := c.ends
	c.mu.Unlock()
	c.cancel()
	c.tools.Wait()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// Log writes a line to the record, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds since the start, as in the record.
func (c *Case) Since() float64 { return time.Since(c.start).Seconds() }

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// HexID returns 16 random hex digits.
func HexID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Now returns the Unix time in ms.
func Now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Program returns the command that the deploy file starts the gateway with.
func Program() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml: no run")
	}
	return string(found[1]), nil
}

// Gateway is one gateway of the project, as a process of its own.
type Gateway struct {
	Name, Address, ConfigPath, OperatorPath string
	c                                       *Case
	cmd                                     *exec.Cmd
	exited                                  chan struct{}
	starts                                  int
}

// NewGateway chooses the address of a gateway.
func (c *Case) NewGateway(name string) (*Gateway, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return &Gateway{Name: name, Address: address, ConfigPath: filepath.Join(c.Dir, name+".json"), c: c}, nil
}

// WriteFile replaces a file as a whole.
func WriteFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// SetOperator replaces the operator's file.
func (g *Gateway) SetOperator(text string) error {
	g.OperatorPath = filepath.Join(g.c.Dir, g.Name+".hcl")
	return WriteFile(g.OperatorPath, text)
}

// SetConfig replaces the configuration.
func (g *Gateway) SetConfig(config map[string]any) error {
	config["name"], config["listen"], config["seed"] = g.Name, g.Address, HexID()
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return WriteFile(g.ConfigPath, string(text))
}

// Start starts the gateway and waits until its health check passes.
func (g *Gateway) Start() error {
	program, err := Program()
	if err != nil {
		return err
	}
	g.starts++
	logPath := filepath.Join(g.c.Dir, fmt.Sprintf("%s-%d.log", g.Name, g.starts))
	log, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", program)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + g.c.Dir, "BALANCER_NAME=" + g.Name, "BALANCER_LISTEN=" + g.Address,
		"BALANCER_CONFIG=" + g.ConfigPath}
	if g.OperatorPath != "" {
		g.cmd.Env = append(g.cmd.Env, "POPPYMILL_FILE="+g.OperatorPath)
	}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, exited, starts := g.cmd, make(chan struct{}), g.starts
	g.exited = exited
	go func() {
		cmd.Wait()
		g.c.Log("%s: process ended: %v", g.Name, cmd.ProcessState)
		close(exited)
	}()
	g.c.OnEnd(func() {
		cmd.Process.Kill()
		<-exited
		text, _ := os.ReadFile(logPath)
		for line := range strings.Lines(string(text)) {
			fmt.Fprintf(g.c.record, "%s start %d | %s\n", g.Name, starts, strings.ReplaceAll(strings.TrimSpace(line), g.c.Dir, "DIR"))
		}
	})
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("%s ended while it started", g.Name)
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := clients.Do(ctx, g.Address, map[string]string{"SCRIPT_NAME": "/_health"}, nil)
		cancel()
		if err == nil && r.Status == 200 {
			g.c.Log("%s: ready", g.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 30 s", g.Name)
}

// Signal sends a signal to the program that run started.
func (g *Gateway) Signal(s syscall.Signal) error {
	g.c.Log("%s: signal %v", g.Name, s)
	return g.cmd.Process.Signal(s)
}

// WaitExit waits until the process has ended.
func (g *Gateway) WaitExit(limit time.Duration) error {
	select {
	case <-g.exited:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %v", g.Name, limit)
	}
}

// Tool runs a sub-command of the project's command line and returns what it printed and its exit status.
func (c *Case) Tool(limit time.Duration, args ...string) (string, int, error) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return "", -1, context.Canceled
	}
	c.tools.Add(1)
	c.mu.Unlock()
	defer c.tools.Done()
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bin/poppymill", args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if cmd.ProcessState == nil || ctx.Err() != nil {
		return out.String(), -1, fmt.Errorf("poppymill %s: %v", strings.Join(args[:min(2, len(args))], " "), err)
	}
	return strings.TrimSpace(out.String()), cmd.ProcessState.ExitCode(), nil
}

// Answer is what a client got; Status 0: no whole answer came.
type Answer struct {
	Status int
	Body   string
	Fields map[string]string
}

// Ask sends one request to a gateway on a connection of its own and waits for the answer.
func (c *Case) Ask(address, class, object string, params map[string]string, allow time.Duration) Answer {
	all := map[string]string{"SCRIPT_NAME": "/invoke/" + class, "HTTP_X_JOB_ID": HexID(), "HTTP_X_ITEM": object, "HTTP_X_N": "0", "HTTP_X_SHARD": "7",
		"HTTP_X_ALLOW_MS": fmt.Sprint(allow.Milliseconds()), "REMOTE_ADDR": "127.0.0.9"}
	for name, value := range params {
		all[name] = value
	}
	ctx, cancel := context.WithTimeout(context.Background(), allow+500*time.Millisecond)
	defer cancel()
	r, err := clients.Do(ctx, address, all, nil)
	if err != nil && r.Status == 0 {
		return Answer{}
	}
	return Answer{Status: r.Status, Body: string(r.Body), Fields: r.Fields}
}

// Exited is closed once the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }
