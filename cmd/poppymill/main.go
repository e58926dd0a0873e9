// Command poppymill is a front for caches of large objects behind thin links.
package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/internal/gateway"
)

// hangups is asked for before anything else is done: a SIGHUP that came first would end the process.
var hangups = func() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")}
	app := &cli.Command{
		Name:  "poppymill",
		Usage: "a front for caches of large objects behind thin links",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run one gateway until SIGTERM or SIGINT", Flags: []cli.Flag{config}, Action: serve},
			{Name: "check", Usage: "read a configuration and say what is wrong with it", Flags: []cli.Flag{config}, Action: check},
			{Name: "get", Usage: "ask a gateway for one part of an object", ArgsUsage: "OBJECT",
				Description: "OBJECT is 16 hex digits, or any name, which is hashed to some. The body goes to standard " +
					"output, what the answer says of itself to standard error.",
				Action: get, Flags: []cli.Flag{
					&cli.StringFlag{Name: "at", Usage: "`ADDRESS` of the gateway", Value: "127.0.0.1:9000"},
					&cli.StringFlag{Name: "type", Usage: "content `TYPE`", Value: "video"},
					&cli.IntFlag{Name: "part", Usage: "`NUMBER` of the part, from 0"},
					&cli.IntFlag{Name: "group", Usage: "`NUMBER` of the object's group, 0 to 255"},
					&cli.DurationFlag{Name: "within", Usage: "how long to wait for the answer", Value: 2 * time.Second},
					&cli.StringFlag{Name: "mine", Usage: "`TAG` of the copy that you hold"},
					&cli.StringFlag{Name: "body", Usage: "`TEXT` to send, for types that write"},
				}},
			{Name: "version", Usage: "print what was built", Action: version},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poppymill:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	load := func() (*footprint.Config, error) { return footprint.Load(cmd.String("config"), os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gateway.Serve(ctx, c, gateway.Reloads{Wanted: hangups, Load: load}, logrus.StandardLogger())
}

func check(_ context.Context, cmd *cli.Command) error {
	c, err := footprint.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s on %s: %d content types, %d events known\n", c.Name, c.Listen, len(c.Types), len(c.Known))
	return nil
}

func get(ctx context.Context, cmd *cli.Command) error {
	object := cmd.Args().First()
	if object == "" {
		return errors.New("get: no OBJECT named")
	}
	if _, err := strconv.ParseUint(object, 16, 64); err != nil || len(object) != 16 {
		h := fnv.New64a()
		h.Write([]byte(object))
		object = fmt.Sprintf("%016x", h.Sum64())
	}
	within := cmd.Duration("within")
	ctx, cancel := context.WithTimeout(ctx, within+time.Second)
	defer cancel()
	params := map[string]string{
		"SCRIPT_NAME":     "/invoke/" + cmd.String("type"),
		"HTTP_X_JOB_ID":   fmt.Sprintf("%016x", rand.Uint64()),
		"HTTP_X_ALLOW_MS": strconv.FormatInt(within.Milliseconds(), 10),
		"HTTP_X_ITEM":     object,
		"HTTP_X_N":        strconv.Itoa(cmd.Int("part")),
		"HTTP_X_SHARD":    strconv.Itoa(cmd.Int("group")),
	}
	if mine := cmd.String("mine"); mine != "" {
		params["HTTP_X_MINE"] = mine
	}
	start := time.Now()
	r, err := clients.Get(ctx, cmd.String("at"), params, []byte(cmd.String("body")))
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	fmt.Fprintf(os.Stderr, "%s: status %d, %d bytes in %v\n", object, r.Status, len(r.Body),
		time.Since(start).Round(100*time.Microsecond))
	for _, name := range []string{"X-Still", "X-Wait-Ms"} {
		if v := r.Fields[name]; v != "" {
			fmt.Fprintf(os.Stderr, "%s: %s\n", name, v)
		}
	}
	if _, err = os.Stdout.Write(r.Body); err == nil && r.Status != 200 {
		err = fmt.Errorf("get: not fulfilled, status %d", r.Status)
	}
	return err
}

func version(_ context.Context, _ *cli.Command) error {
	fmt.Println("poppymill", built())
	return nil
}

// built tells what the tool chain has put into the binary: its own version, the revision where it knows one, the
// build tags, and the libraries.
func built() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of an unknown build"
	}
	text := info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time", "-tags":
			text += fmt.Sprintf(" %s=%s", strings.TrimPrefix(s.Key, "-"), s.Value)
		}
	}
	for _, d := range info.Deps {
		text += fmt.Sprintf("\n%s %s", d.Path, d.Version)
	}
	return text
}
