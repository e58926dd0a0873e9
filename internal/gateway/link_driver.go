package gateway

import (
	"context"
	"crypto/rand"
	"errors"

	"golang.org/x/sync/errgroup"

	"poppymill/internal/links"
	linksdriver "poppymill/internal/links/driver"
)

// linkDriver does the I/O for signed links: it loads and watches the keys and runs the store of spent tokens. It is not
// part of the core.
type linkDriver struct {
	block  linksdriver.Block // as of the start
	poster *poster
	clock  clock
	store  *linksdriver.Store
}

// newLinkDriver makes the core require signed links if the operator's file enables them, and does nothing otherwise.
func newLinkDriver(b linksdriver.Block, core *Core, p *poster, clock clock) (*linkDriver, error) {
	b.Settings.Name = core.config.Name
	d := &linkDriver{block: b, poster: p, clock: clock}
	if !b.On {
		return d, nil
	}
	keySet, err := b.ReadKeys()
	if err != nil {
		return nil, err
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	admission := links.New(b.Settings, keySet, secret, clock.now())
	var store SpendStore
	if b.Store != "" {
		if d.store, err = linksdriver.OpenStore(b.Store, clock.now(), func(s links.SpentToken) { admission.Restore(s, clock.now()) }); err != nil {
			return nil, err
		}
		admission.RecordSince(d.store.Since)
		store = d.store
	}
	core.RequireSignedLinks(admission, b, store, p.post, clock.now)
	return d, nil
}

// run writes spent tokens to the store and watches the key file until the context ends.
func (d *linkDriver) run(ctx context.Context, g *errgroup.Group, r *reloader) {
	if !d.block.On {
		return
	}
	if d.store != nil {
		g.Go(func() error { return d.store.Run(ctx, d.clock.now) })
	}
	g.Go(func() error {
		err := linksdriver.Watch(ctx, d.block.Keys, func() {
			// A reload on SIGHUP may have changed the block; the watched file remains that of the start.
			if err := d.rekey(r.operator.Load().Links); err != nil {
				r.failed.Add(1)
				r.log.WithError(err).Error("cannot load the signed-link keys; keeping the previous ones")
			} else {
				r.log.WithField("keys", d.block.Keys).Info("signed-link keys reloaded")
			}
		})
		if err != nil {
			r.log.WithError(err).Error("cannot watch the key file; keys are reloaded on SIGHUP only")
		}
		return nil
	})
}

// errNeedsRestart is returned for changes of the links block that a reload cannot apply.
var errNeedsRestart = errors.New("links: enabling, disabling or changing the store needs a restart")

// rekey loads the keys named by a block and passes them to the core, all of them or none.
func (d *linkDriver) rekey(b linksdriver.Block) error {
	if b.On != d.block.On || b.Store != d.block.Store {
		return errNeedsRestart
	}
	if !b.On {
		return nil
	}
	keySet, err := b.ReadKeys()
	if err != nil {
		return err
	}
	b.Settings.Name = d.block.Settings.Name
	d.poster.post(KeysReloaded{Ring: keySet, Block: b})
	return nil
}
