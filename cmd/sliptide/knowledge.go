package main

import (
	"context"

	"github.com/rs/zerolog"

	"sliptide/internal/config"
	"sliptide/internal/fsys"
	"sliptide/internal/knowledge/keeper"
	"sliptide/internal/knowledge/store"
	"sliptide/internal/operator"
	"sliptide/internal/sender"
	"sliptide/internal/statedir"
)

// This file opens and closes the knowledge that a sender keeps across restarts.

// persistentKnowledge is the knowledge that a sender keeps across restarts, with its account of disk space.
type persistentKnowledge struct {
	sender.Knowledge
	account *statedir.Account
}

// openKnowledge reads the knowledge of an earlier run. If knowledge is disabled, only the disk space of files left by
// an earlier run is accounted for.
func openKnowledge(cfg *config.Config, settings operator.Knowledge, space *statedir.Space, clock sender.Clock,
	log zerolog.Logger) persistentKnowledge {
	k := persistentKnowledge{account: space.Account()}
	files := fsys.ForDir(cfg.StateDir)
	if !settings.Enabled {
		var leftoverBytes int64
		for _, name := range store.FileNames {
			leftoverBytes += statedir.RoundToBlocks(files.Size(name))
		}
		k.account.Reserve(leftoverBytes)
		k.account.Claim(leftoverBytes)
		return k
	}
	if maxBytes := cfg.Limits.DiskBytes / 4; settings.MaxSize > maxBytes { // the journal needs the rest
		log.Warn().Int64("bytes", maxBytes).Msg("knowledge: max-size is reduced to a quarter of limits.disk_mb")
		settings.MaxSize = maxBytes
	}
	k.account.Reserve(settings.MaxSize)
	knowledgeStore, facts, problems := store.Open(store.Options{FS: files, Account: k.account, MaxBytes: settings.MaxSize,
		Sync: settings.Sync}, cfg.Name)
	for _, p := range problems {
		log.Warn().Str("file", p.File).Err(p.Err).Bool("set_aside", p.SetAside).Bool("left_untouched", p.LeftUntouched).
			Msg("knowledge: a file cannot be used")
	}
	if facts.Sender != cfg.Name {
		log.Warn().Str("of", facts.Sender).Msg("knowledge: the files belong to another sender")
	}
	log.Info().Int("destinations", len(facts.Dests)).Int("waits", len(facts.Waits)).Msg("knowledge of an earlier run loaded")
	k.Knowledge = sender.Knowledge{Settings: settings, Facts: facts.Clone()}
	// The files hold times of the sender's clock, which continues across restarts: the wall clock is not needed.
	k.Writer = keeper.New(keeper.Options{Settings: settings, Store: knowledgeStore, Facts: facts, Account: k.account,
		Log: log, Clock: clock.Now, WallClock: clock.Now})
	return k
}

// close writes the last snapshot within snapshotTimeout.
func (k *persistentKnowledge) close() {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	k.Writer.Close(ctx)
}
