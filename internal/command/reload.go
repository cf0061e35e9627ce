package command

import (
	"bytes"
	"context"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
	"github.com/nutmegshift/nutmegshift/internal/settings"
)

// reloadInterval is the time between two checks of the settings file for changes
// that no signal announces.
const reloadInterval = 5 * time.Second

// reloader reads the settings file again at a signal and when the file changes. The
// log settings apply at once; the others take effect at the next start.
type reloader struct {
	name     string
	signals  <-chan os.Signal
	log      *logging.Log
	content  []byte // content that is in force
	rejected []byte // last content that was reported as not usable; nil after a usable one
}

func newReloader(name string, content []byte, signals <-chan os.Signal, log *logging.Log) *reloader {
	return &reloader{
		name:    name,
		signals: signals,
		log:     log,
		content: content,
	}
}

// run reloads the file at signals and changes until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload applies the file if it has changed. A requested reload is logged even if
// nothing has changed.
func (r *reloader) reload(requested bool) {
	content, err := os.ReadFile(r.name)
	if err != nil {
		r.reject(nil, err, requested)
		return
	}
	if bytes.Equal(content, r.content) {
		r.rejected = nil
		if requested {
			r.log.Info().Msg("settings: reloaded, unchanged")
		}
		return
	}
	parsed, err := settings.ParseRelay(r.name, content)
	if err != nil {
		r.reject(content, err, requested)
		return
	}
	level, err := zerolog.ParseLevel(parsed.Level)
	if err != nil {
		r.reject(content, err, requested)
		return
	}
	changed, err := settings.Differences(r.content, content)
	if err != nil {
		r.reject(content, err, requested)
		return
	}
	r.log.Set(level, parsed.LogRate)
	r.content = content
	r.rejected = nil
	var needRestart []string
	for _, key := range changed {
		if !strings.HasPrefix(key, "[log] ") {
			needRestart = append(needRestart, key)
		}
	}
	r.log.Info().Strs("changed", changed).Strs("restart", needRestart).Msg("settings: reloaded")
}

// reject logs that the file cannot be used. It logs the same content only once,
// unless the reload was requested.
func (r *reloader) reject(content []byte, err error, requested bool) {
	if !requested && r.rejected != nil && bytes.Equal(content, r.rejected) {
		return
	}
	r.rejected = append([]byte{}, content...)
	r.log.Error().Err(err).Msg("settings: not usable, keeping the previous settings")
}
