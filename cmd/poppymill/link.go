package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/links"
	"poppymill/internal/links/keyfile"
)

func linkCommand() *cli.Command {
	keys := &cli.StringFlag{Name: "keys", Usage: "the `FILE` of keys", Sources: cli.EnvVars("POPPYMILL_KEYS"), Required: true}
	base := &cli.StringFlag{Name: "base", Usage: "`URL` that all links begin with", Required: true}
	typ := &cli.StringFlag{Name: "type", Usage: "content `TYPE`", Value: "video"}
	form := &cli.StringFlag{Name: "form", Usage: "uri-signing or compact", Value: "uri-signing"}
	id := &cli.StringFlag{Name: "id", Usage: "`NAME` of the key", Required: true}
	c := &cli.Command{Name: "link", Usage: "issue signed links, look at them, and change their keys", Commands: []*cli.Command{
		{Name: "sign", Usage: "issue a link for an object", ArgsUsage: "OBJECT", Action: linkSign, Flags: []cli.Flag{keys, base, typ, form,
			&cli.IntFlag{Name: "part", Usage: "for that part alone, `NUMBER` from 0", Value: -1},
			&cli.DurationFlag{Name: "for", Usage: "how long it is good", Value: 5 * time.Minute},
			&cli.DurationFlag{Name: "renew", Usage: "how long each successor is good; 0: it has none"},
			&cli.StringFlag{Name: "subject", Usage: "`NAME` of the client"}, &cli.StringSliceFlag{Name: "audience", Usage: "`NAME` of a gateway or club"},
			&cli.StringFlag{Name: "address", Usage: "`PREFIX` that the client must ask from"},
			&cli.BoolFlag{Name: "write", Usage: "for what runs, once"}}},
		{Name: "verify", Usage: "say whether a link admits a download, and which claim fails first", ArgsUsage: "TOKEN OBJECT", Action: linkVerify,
			Flags: []cli.Flag{keys, base, typ, form, &cli.IntFlag{Name: "part", Usage: "`NUMBER` of the part, from 0"},
				&cli.StringSliceFlag{Name: "audience", Usage: "`NAME` that the gateway goes by"},
				&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the client"}, &cli.BoolFlag{Name: "write", Usage: "the download runs something"}}},
		{Name: "inspect", Usage: "print what a link says, whether or not it is good", ArgsUsage: "TOKEN", Action: linkInspect},
		{Name: "keys", Usage: "change keys in service; gateways take the file up by themselves", Commands: []*cli.Command{
			{Name: "new", Usage: "add a key, or begin a file", Action: keysNew, Flags: []cli.Flag{keys, id,
				&cli.StringFlag{Name: "issuer", Usage: "`NAME` that its tokens are of", Required: true},
				&cli.StringFlag{Name: "algorithm", Usage: "ES256, EdDSA or HS256", Value: "EdDSA"},
				&cli.StringFlag{Name: "state", Usage: "upcoming, signing or verifying", Value: "upcoming"}}},
			{Name: "rotate", Usage: "the upcoming key signs, the one that signed goes on verifying", Action: keysRotate, Flags: []cli.Flag{keys}},
			{Name: "retire", Usage: "a key's time is over", Action: keysState(links.Retired), Flags: []cli.Flag{keys, id}},
			{Name: "withdraw", Usage: "a key has leaked: nothing that it signed is taken any more", Action: keysState(links.Withdrawn), Flags: []cli.Flag{keys, id}},
			{Name: "list", Usage: "name the keys", Action: keysList, Flags: []cli.Flag{keys}},
		}},
	}}
	return c
}

func linkSign(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return unusable(errors.New("link sign: one OBJECT is to be named"))
	}
	_, ring, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return unusable(err)
	}
	base, typ, object, part := strings.TrimSuffix(cmd.String("base"), "/"), cmd.String("type"), objectID(cmd.Args().First()), cmd.Int("part")
	if cmd.Bool("write") {
		part = max(part, 0)
	}
	now := float64(time.Now().UnixMilli()) / 1000
	ends := now + cmd.Duration("for").Seconds()
	var token string
	if cmd.String("form") == "compact" {
		if part >= 0 {
			token, err = ring.Compact(links.URI(base, typ, object, int64(part)), "", ends)
		} else {
			token, err = ring.Compact("", base+"/"+typ+"/"+object+"/", ends)
		}
	} else {
		id := make([]byte, 12)
		rand.Read(id)
		c := links.Claims{Subject: cmd.String("subject"), Audience: cmd.StringSlice("audience"), Issued: now, Expires: ends,
			ID: fmt.Sprintf("%x", id), URI: "regex:" + regexp.QuoteMeta(base+"/"+typ+"/"+object) + "/[0-9]+"}
		if part >= 0 {
			c.URI = links.Hash(links.URI(base, typ, object, int64(part)))
		}
		if renew := cmd.Duration("renew"); renew > 0 {
			c.Renew, c.Transport = renew.Seconds(), 1
		}
		if cmd.Bool("write") {
			c.Write, c.Critical = true, links.CriticalWrite
		}
		if address := cmd.String("address"); address != "" {
			if c.Client, err = ring.SealAddress(address); err != nil {
				return unusable(err)
			}
		}
		token, err = ring.Sign(c)
	}
	if err != nil {
		return unusable(err)
	}
	fmt.Println(token)
	return nil
}

func linkVerify(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return unusable(errors.New("link verify: a TOKEN and an OBJECT are to be named"))
	}
	_, ring, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return unusable(err)
	}
	s := links.Defaults()
	s.Base, s.Form, s.Audience, s.Stored = strings.TrimSuffix(cmd.String("base"), "/"), cmd.String("form"), cmd.StringSlice("audience"), true
	now := float64(time.Now().UnixMilli())
	ask := links.Ask{At: now, Source: cmd.String("address"), Token: cmd.Args().First(), ID: "verify", Type: cmd.String("type"),
		Object: objectID(cmd.Args().Get(1)), Part: int64(cmd.Int("part")), Write: cmd.Bool("write")}
	if err := links.New(s, ring, []byte("of this one look"), now).Explain(ask); err != nil {
		fmt.Println(err)
		return cli.Exit("", 1)
	}
	fmt.Println("good for", links.URI(s.Base, ask.Type, ask.Object, ask.Part))
	return nil
}

func linkInspect(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return unusable(errors.New("link inspect: one TOKEN is to be named"))
	}
	text, err := links.Inspect(cmd.Args().First())
	if err != nil {
		return unusable(err)
	}
	fmt.Println(text)
	return nil
}

// change reads the file of keys, has it changed, and puts it back whole.
func change(cmd *cli.Command, how func(f *keyfile.File) error) error {
	path := cmd.String("keys")
	f, _, err := keyfile.Read(path)
	if errors.Is(err, os.ErrNotExist) && cmd.Name == "new" {
		f, err = &keyfile.File{}, nil
		f.Secret = make([]byte, 32)
		rand.Read(f.Secret)
	}
	if err == nil {
		err = how(f)
	}
	if err == nil {
		err = keyfile.Write(path, f)
	}
	if err != nil {
		return unusable(err)
	}
	return keysList(context.Background(), cmd)
}

func keysNew(_ context.Context, cmd *cli.Command) error {
	return change(cmd, func(f *keyfile.File) error {
		state, err := links.ParseState(cmd.String("state"))
		if err != nil {
			return err
		}
		k, err := keyfile.New(cmd.String("id"), cmd.String("issuer"), cmd.String("algorithm"), state)
		f.Keys = append(f.Keys, k)
		return err
	})
}

func keysRotate(_ context.Context, cmd *cli.Command) error {
	return change(cmd, (*keyfile.File).Rotate)
}

func keysState(s links.State) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		return change(cmd, func(f *keyfile.File) error { return f.Set(cmd.String("id"), s) })
	}
}

func keysList(_ context.Context, cmd *cli.Command) error {
	_, ring, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return unusable(err)
	}
	for _, k := range ring.Names() {
		fmt.Println(k)
	}
	return nil
}
