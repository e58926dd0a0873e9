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
	keys := &cli.StringFlag{Name: "keys", Usage: "key `FILE`", Sources: cli.EnvVars("POPPYMILL_KEYS"), Required: true}
	base := &cli.StringFlag{Name: "base", Usage: "`URL` prefix of all links", Required: true}
	typ := &cli.StringFlag{Name: "type", Usage: "content `TYPE`", Value: "video"}
	form := &cli.StringFlag{Name: "form", Usage: "uri-signing or compact", Value: "uri-signing"}
	id := &cli.StringFlag{Name: "id", Usage: "`NAME` of the key", Required: true}
	c := &cli.Command{Name: "link", Usage: "issue and verify signed links, and manage their keys", Commands: []*cli.Command{
		{Name: "sign", Usage: "issue a link for an object", ArgsUsage: "OBJECT", Action: linkSign, Flags: []cli.Flag{keys, base, typ, form,
			&cli.IntFlag{Name: "part", Usage: "only for the part with this `NUMBER`, starting at 0", Value: -1},
			&cli.DurationFlag{Name: "for", Usage: "how long the link is valid", Value: 5 * time.Minute},
			&cli.DurationFlag{Name: "renew", Usage: "how long each renewed link is valid; 0: the link is not renewed"},
			&cli.StringFlag{Name: "subject", Usage: "`NAME` of the client"}, &cli.StringSliceFlag{Name: "audience", Usage: "`NAME` of a gateway or club"},
			&cli.StringFlag{Name: "address", Usage: "address `PREFIX` that the client must connect from"},
			&cli.BoolFlag{Name: "write", Usage: "for a content type that writes; the link is valid once"}}},
		{Name: "verify", Usage: "check whether a link permits a download, and report the first claim that fails", ArgsUsage: "TOKEN OBJECT", Action: linkVerify,
			Flags: []cli.Flag{keys, base, typ, form, &cli.IntFlag{Name: "part", Usage: "`NUMBER` of the part, starting at 0"},
				&cli.StringSliceFlag{Name: "audience", Usage: "`NAME` of the gateway or club, as an audience"},
				&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the client"}, &cli.BoolFlag{Name: "write", Usage: "the download is of a content type that writes"}}},
		{Name: "inspect", Usage: "print the claims of a link without verifying it", ArgsUsage: "TOKEN", Action: linkInspect},
		{Name: "keys", Usage: "manage keys; gateways reload the key file by themselves", Commands: []*cli.Command{
			{Name: "new", Usage: "add a key; creates the file if it does not exist", Action: keysNew, Flags: []cli.Flag{keys, id,
				&cli.StringFlag{Name: "issuer", Usage: "`NAME` of the issuer in its tokens", Required: true},
				&cli.StringFlag{Name: "algorithm", Usage: "ES256, EdDSA or HS256", Value: "EdDSA"},
				&cli.StringFlag{Name: "state", Usage: "upcoming, signing or verifying", Value: "upcoming"}}},
			{Name: "rotate", Usage: "make the upcoming key the signing key; the previous signing key only verifies", Action: keysRotate, Flags: []cli.Flag{keys}},
			{Name: "retire", Usage: "retire a key at the end of its life", Action: keysState(links.Retired), Flags: []cli.Flag{keys, id}},
			{Name: "withdraw", Usage: "withdraw a leaked key: links that it signed are rejected from now on", Action: keysState(links.Withdrawn), Flags: []cli.Flag{keys, id}},
			{Name: "list", Usage: "list the keys", Action: keysList, Flags: []cli.Flag{keys}},
		}},
	}}
	return c
}

func linkSign(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError(errors.New("link sign: takes one OBJECT"))
	}
	_, keySet, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return usageError(err)
	}
	base, typ, object, part := strings.TrimSuffix(cmd.String("base"), "/"), cmd.String("type"), objectID(cmd.Args().First()), cmd.Int("part")
	if cmd.Bool("write") {
		part = max(part, 0)
	}
	now := float64(time.Now().UnixMilli()) / 1000
	expires := now + cmd.Duration("for").Seconds()
	var token string
	if cmd.String("form") == "compact" {
		if part >= 0 {
			token, err = keySet.SignCompact(links.URI(base, typ, object, int64(part)), "", expires)
		} else {
			token, err = keySet.SignCompact("", base+"/"+typ+"/"+object+"/", expires)
		}
	} else {
		id := make([]byte, 12)
		rand.Read(id)
		c := links.Claims{Subject: cmd.String("subject"), Audience: cmd.StringSlice("audience"), Issued: now, Expires: expires,
			ID: fmt.Sprintf("%x", id), URI: "regex:" + regexp.QuoteMeta(base+"/"+typ+"/"+object) + "/[0-9]+"}
		if part >= 0 {
			c.URI = links.Hash(links.URI(base, typ, object, int64(part)))
		}
		if renew := cmd.Duration("renew"); renew > 0 {
			c.RenewSeconds, c.Transport = renew.Seconds(), 1
		}
		if cmd.Bool("write") {
			c.Write, c.Critical = true, links.CriticalWrite
		}
		if address := cmd.String("address"); address != "" {
			if c.Client, err = keySet.SealAddress(address); err != nil {
				return usageError(err)
			}
		}
		token, err = keySet.Sign(c)
	}
	if err != nil {
		return usageError(err)
	}
	fmt.Println(token)
	return nil
}

func linkVerify(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("link verify: takes TOKEN OBJECT"))
	}
	_, keySet, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return usageError(err)
	}
	s := links.Defaults()
	s.Base, s.Form, s.Audience = strings.TrimSuffix(cmd.String("base"), "/"), cmd.String("form"), cmd.StringSlice("audience")
	now := float64(time.Now().UnixMilli())
	request := links.Request{At: now, Source: cmd.String("address"), Token: cmd.Args().First(), ID: "verify", Type: cmd.String("type"),
		Object: objectID(cmd.Args().Get(1)), Part: int64(cmd.Int("part")), Write: cmd.Bool("write")}
	authorizer := links.New(s, keySet, []byte("of this one look"), now)
	authorizer.RecordSince(0) // the question is whether the link is valid, not whether it was spent
	if err := authorizer.Explain(request); err != nil {
		fmt.Println(err)
		return cli.Exit("", 1)
	}
	fmt.Println("valid for", links.URI(s.Base, request.Type, request.Object, request.Part))
	return nil
}

func linkInspect(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError(errors.New("link inspect: takes one TOKEN"))
	}
	text, err := links.Inspect(cmd.Args().First())
	if err != nil {
		return usageError(err)
	}
	fmt.Println(text)
	return nil
}

// updateKeyFile reads the key file, applies a change to it, writes it back as a whole and prints the keys.
func updateKeyFile(cmd *cli.Command, apply func(f *keyfile.File) error) error {
	path := cmd.String("keys")
	f, _, err := keyfile.Read(path)
	if errors.Is(err, os.ErrNotExist) && cmd.Name == "new" {
		f, err = &keyfile.File{}, nil
		f.AddressSecret = make([]byte, 32)
		rand.Read(f.AddressSecret)
	}
	if err == nil {
		err = apply(f)
	}
	if err == nil {
		err = keyfile.Write(path, f)
	}
	if err != nil {
		return usageError(err)
	}
	return keysList(context.Background(), cmd)
}

func keysNew(_ context.Context, cmd *cli.Command) error {
	return updateKeyFile(cmd, func(f *keyfile.File) error {
		state, err := links.ParseState(cmd.String("state"))
		if err != nil {
			return err
		}
		k, err := keyfile.GenerateKey(cmd.String("id"), cmd.String("issuer"), cmd.String("algorithm"), state)
		f.Keys = append(f.Keys, k)
		return err
	})
}

func keysRotate(_ context.Context, cmd *cli.Command) error {
	return updateKeyFile(cmd, (*keyfile.File).Rotate)
}

func keysState(s links.State) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		return updateKeyFile(cmd, func(f *keyfile.File) error { return f.SetState(cmd.String("id"), s) })
	}
}

func keysList(_ context.Context, cmd *cli.Command) error {
	_, keySet, err := keyfile.Read(cmd.String("keys"))
	if err != nil {
		return usageError(err)
	}
	for _, k := range keySet.Describe() {
		fmt.Println(k)
	}
	return nil
}
