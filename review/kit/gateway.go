package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway process, started by the command of the deploy file.
type Gateway struct {
	Name, Address string
	record        *Record
	cmd           *exec.Cmd
	ended         chan struct{}
	mu            sync.Mutex
	stopping      bool
	unexpected    error // how it ended unasked
}

// StartGateway writes a configuration into a folder and starts the command run with it from the folder root.
func StartGateway(record *Record, root, run, folder string, config map[string]any, env ...string) (*Gateway, error) {
	name, address := config["name"].(string), config["listen"].(string)
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("%s-%d.log", name, time.Now().UnixMilli())))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g := &Gateway{Name: name, Address: address, record: record, ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir = root
	// What the caller's environment says to a gateway does not count here.
	outer := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "BALANCER_") || strings.HasPrefix(v, "POPPYMILL_") })
	g.cmd.Env = append(append(outer, "BALANCER_NAME="+name, "BALANCER_LISTEN="+address, "BALANCER_CONFIG="+path, "TMPDIR="+folder), env...)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	record.Printf("%s: started at %s", name, address)
	go func() {
		err := g.cmd.Wait()
		g.mu.Lock()
		if !g.stopping {
			g.unexpected = fmt.Errorf("%s ended by itself: %v", name, err)
		}
		g.mu.Unlock()
		record.Printf("%s: ended (%v)", name, err)
		close(g.ended)
	}()
	return g, nil
}

// WaitReady waits until the gateway answers its health check.
func (g *Gateway) WaitReady() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-g.ended:
			return errors.New(g.Name + " ended at its start")
		default:
		}
		c, err := Dial(g.Address)
		if err != nil {
			continue
		}
		r := c.Send(map[string]string{"SCRIPT_NAME": "/_health", "REQUEST_METHOD": "GET"}, nil)
		answer, ok := r.Wait(time.Second)
		c.Close()
		if ok && answer.Status == 200 {
			g.record.Printf("%s: ready", g.Name)
			return nil
		}
	}
	return errors.New(g.Name + " is not ready after 30 s")
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.record.Printf("%s: %v", g.Name, s)
	g.cmd.Process.Signal(s)
}

// Unexpected returns how the process ended unasked, or nil.
func (g *Gateway) Unexpected() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unexpected
}

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.Signal(syscall.SIGKILL)
	<-g.ended
}

// Stop ends the process by SIGTERM, and by SIGKILL where it has not ended 5 s later.
func (g *Gateway) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	select {
	case <-g.ended:
		return
	default:
	}
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(5 * time.Second):
		g.Kill()
	}
}
