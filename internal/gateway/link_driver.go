package gateway

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"poppymill/internal/links"
	linksdriver "poppymill/internal/links/driver"
)

// linkDriver does the I/O for signed links: it loads and watches the keys and runs the store of spent tokens. It is not
// part of the core.
type linkDriver struct {
	block  linksdriver.Block // as of the start
	mu     sync.Mutex
	newest linksdriver.Block // the newest block, as far as it can be taken up without a restart
	poster *poster
	clock  clock
	store  *linksdriver.Store
}

// newLinkDriver makes the core require signed links if the operator's file enables them, and does nothing otherwise.
func newLinkDriver(b linksdriver.Block, core *Core, p *poster, clock clock) (*linkDriver, error) {
	b.Settings.Name = core.config.Name
	d := &linkDriver{block: b, newest: b, poster: p, clock: clock}
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
			if err := d.reloadKeys(); err != nil {
				r.failed.Add(1)
				r.log.WithError(err).Error(keysRefused)
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

// keysRefused is the log line for keys that cannot be loaded.
const keysRefused = "cannot load the signed-link keys; keeping the previous ones"

// needsRestart reports whether a block differs from that of the start in what a reload cannot apply.
func (d *linkDriver) needsRestart(b linksdriver.Block) bool {
	return b.On != d.block.On || b.On && (b.Store != d.block.Store || d.movesToken(b))
}

// movesToken reports whether a block has the token in a param that the running server does not keep.
func (d *linkDriver) movesToken(b linksdriver.Block) bool {
	return b.From == "header" && !slices.Equal(b.Params(), d.block.Params())
}

// rekey passes a block to the core with the keys that it names, all of them or none. What needs a restart stays as it is. If
// the keys cannot be read, the block waits for the key file's next change.
func (d *linkDriver) rekey(b linksdriver.Block) error {
	if !b.On || !d.block.On {
		return nil
	}
	if d.movesToken(b) {
		b.From, b.Name = d.block.From, d.block.Name
	}
	b.Store, b.Settings.HasStore, b.Settings.Name = d.block.Store, d.block.Settings.HasStore, d.block.Settings.Name
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newest = b
	return d.loadKeys()
}

// reloadKeys loads the keys of the newest block once more.
func (d *linkDriver) reloadKeys() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadKeys()
}

// loadKeys loads the keys of the newest block and passes both to the core. The caller holds the lock, so that blocks arrive
// in order.
func (d *linkDriver) loadKeys() error {
	keySet, err := d.newest.ReadKeys()
	if err != nil {
		return err
	}
	d.poster.post(KeysReloaded{Ring: keySet, Block: d.newest})
	return nil
}
