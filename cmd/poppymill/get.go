package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/clients"
)

func getCommand() *cli.Command {
	return &cli.Command{Name: "get", Usage: "request one part of an object from a gateway", ArgsUsage: "OBJECT",
		Description: "OBJECT is 16 hex digits, or any other name, which is hashed to 16 hex digits. The body is written to " +
			"standard output, status and headers of the response to standard error.",
		Action: get, Flags: []cli.Flag{
			&cli.StringFlag{Name: "at", Usage: "`ADDRESS` of the gateway", Value: "127.0.0.1:9000"},
			&cli.StringFlag{Name: "type", Usage: "content `TYPE`", Value: "video"},
			&cli.IntFlag{Name: "part", Usage: "`NUMBER` of the part, starting at 0"},
			&cli.IntFlag{Name: "group", Usage: "`NUMBER` of the object's group, 0 to 255"},
			&cli.DurationFlag{Name: "within", Usage: "how long to wait for the response", Value: 2 * time.Second},
			&cli.StringFlag{Name: "mine", Usage: "`TAG` of the copy that the client already has"},
			&cli.StringFlag{Name: "link", Usage: "signed `TOKEN`, as in the query of a link"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` to send, for content types that write"},
		}}
}

func get(ctx context.Context, cmd *cli.Command) error {
	object := cmd.Args().First()
	if object == "" {
		return errors.New("get: missing argument OBJECT")
	}
	object = objectID(object)
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
	if link := cmd.String("link"); link != "" {
		params["REMOTE_ADDR"] = "127.0.0.1"
		if params["QUERY_STRING"] = "URISigningPackage=" + link; strings.Contains(link, "Signature=") {
			params["QUERY_STRING"] = link
		}
	}
	start := time.Now()
	r, err := clients.Do(ctx, cmd.String("at"), params, []byte(cmd.String("body")))
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	fmt.Fprintf(os.Stderr, "%s: status %d, %d bytes in %v\n", object, r.Status, len(r.Body),
		time.Since(start).Round(100*time.Microsecond))
	for _, name := range []string{"X-Still", "X-Wait-Ms", "X-Link", "Set-Cookie"} {
		if v := r.Fields[name]; v != "" {
			fmt.Fprintf(os.Stderr, "%s: %s\n", name, v)
		}
	}
	if _, err = os.Stdout.Write(r.Body); err == nil && r.Status != 200 {
		err = fmt.Errorf("get: not fulfilled, status %d", r.Status)
	}
	return err
}

// objectID returns the ID of an object: 16 hex digits are an ID already, any other name is hashed to one.
func objectID(name string) string {
	if _, err := strconv.ParseUint(name, 16, 64); err == nil && len(name) == 16 {
		return name
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return fmt.Sprintf("%016x", h.Sum64())
}
