package gateway

import (
	"context"
	"crypto/rand"
	"errors"

	"golang.org/x/sync/errgroup"

	"poppymill/internal/links"
	"poppymill/internal/links/drive"
)

// guard is the driver of signed links: it reads keys, opens the store and watches both. It is no part of the core.
type guard struct {
	block  drive.Block // as started
	poster *poster
	clock  clock
	store  *drive.Store
}

// newGuard makes a core ask for links where the operator wants it; nothing is done where not.
func newGuard(b drive.Block, core *Core, p *poster, clock clock) (*guard, error) {
	b.Settings.Name = core.config.Name
	k := &guard{block: b, poster: p, clock: clock}
	if !b.On {
		return k, nil
	}
	ring, err := b.Ring()
	if err != nil {
		return nil, err
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	door := links.New(b.Settings, ring, secret, clock.now())
	var store Spends
	if b.Store != "" {
		if k.store, err = drive.OpenStore(b.Store, clock.now(), func(s links.Spend) { door.Restore(s, clock.now()) }); err != nil {
			return nil, err
		}
		store = k.store
	}
	core.Guard(door, b, store, p.post, clock.now)
	return k, nil
}

// run writes what is spent and watches the keys until the context ends.
func (k *guard) run(ctx context.Context, g *errgroup.Group, r *reloader) {
	if !k.block.On {
		return
	}
	if k.store != nil {
		g.Go(func() error { return k.store.Run(ctx, k.clock.now) })
	}
	g.Go(func() error {
		err := drive.Watch(ctx, k.block.Keys, func() {
			// A reload on SIGHUP may have changed the block; the file that is watched stays that of the start.
			if err := k.rekey(r.operator.Load().Links); err != nil {
				r.misread.Add(1)
				r.log.WithError(err).Error("the keys of signed links can't be used: the old ones go on")
			} else {
				r.log.WithField("keys", k.block.Keys).Info("keys taken up")
			}
		})
		if err != nil {
			r.log.WithError(err).Error("keys are read again on SIGHUP alone")
		}
		return nil
	})
}

var errToggled = errors.New("links: on or off, and its store, change at a restart alone")

// rekey reads the keys that a block names and hands them to the core, whole or not at all.
func (k *guard) rekey(b drive.Block) error {
	if b.On != k.block.On || b.Store != k.block.Store {
		return errToggled
	}
	if !b.On {
		return nil
	}
	ring, err := b.Ring()
	if err != nil {
		return err
	}
	b.Settings.Name = k.block.Settings.Name
	k.poster.post(Rekeyed{Ring: ring, Block: b})
	return nil
}
