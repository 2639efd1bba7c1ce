package gateway

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/routes"
)

// confirmStage is a gateway that has configuration 1, revision 10, which was confirmed 1 s ago.
type confirmStage struct {
	*Gateway
	sink   configSink
	manual *clock.Manual
	decode func(value []byte) (*spanrill.RouteConfig, error) // called before an item is decoded
}

func newConfirmStage() *confirmStage {
	s := &confirmStage{manual: clock.NewManual(), decode: startDecode}
	s.manual.Advance(100_000)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.Gateway = &Gateway{clock: s.manual, log: logrus.NewEntry(log), config: routes.NewCurrent(s.manual)}
	s.adapter = Adapter{ConfigName: "main", DecodeConfig: func(v []byte) (*spanrill.RouteConfig, error) { return s.decode(v) }}
	s.sink = configSink{s.Gateway}
	s.sink.HandleList([]spanrill.Item{configItem(10, `{"version":1}`)}, 10, s.manual.Now())
	s.manual.Advance(spanrill.Second)
	return s
}

func configItem(revision uint64, value string) spanrill.Item {
	return spanrill.Item{Name: "main", Revision: revision, Value: []byte(value)}
}

func changesOf(items ...spanrill.Item) []spanrill.Change {
	changes := make([]spanrill.Change, len(items))
	for i, item := range items {
		changes[i].Item = item
	}
	return changes
}

// Guards against a configuration that counts as confirmed by an answer that does not say that it is
// the newest.
func TestConfirmationNamesTheNewestConfiguration(t *testing.T) {
	newer, newest := configItem(20, `{"version":2}`), configItem(30, `{"version":3}`)
	unreadable := configItem(40, `{`)
	otherEra := spanrill.RevisionOf(1, 5)
	for _, c := range []struct {
		name        string
		answer      func(s *confirmStage, sentAt spanrill.Millis)
		wantVersion int64
		confirmed   bool
	}{
		{"no changes", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleChanges(nil, 15, at) }, 1, true},
		{"a change", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleChanges(changesOf(newer), 20, at) }, 2, true},
		{"two changes", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleChanges(changesOf(newer, newest), 30, at) }, 3, true},
		{"a list", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleList([]spanrill.Item{newest}, 35, at) }, 3, true},
		{"changes from behind", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleChanges(nil, 9, at) }, 1, false},
		{"a list from behind", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleList([]spanrill.Item{configItem(8, `{"version":1}`)}, 9, at)
		}, 1, false},
		{"a list of the same revision from behind", func(s *confirmStage, at spanrill.Millis) {
			s.config.Update(routes.New(&spanrill.RouteConfig{Version: 2}), nil, 20)
			s.sink.HandleList([]spanrill.Item{configItem(10, `{"version":1}`)}, 12, at)
		}, 2, false},
		{"an unreadable change", func(s *confirmStage, at spanrill.Millis) { s.sink.HandleChanges(changesOf(unreadable), 40, at) }, 1, false},
		{"an unreadable change behind a readable one", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleChanges(changesOf(newer, unreadable), 40, at)
		}, 2, false},
		{"no changes since an unreadable one", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleChanges(changesOf(unreadable), 40, at-100)
			s.sink.HandleChanges(nil, 45, at)
		}, 1, false},
		{"a readable change since an unreadable one", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleChanges(changesOf(unreadable), 40, at-100)
			s.sink.HandleChanges(changesOf(configItem(50, `{"version":4}`)), 50, at)
		}, 4, true},
		{"a lower version of a restored store", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleList([]spanrill.Item{configItem(otherEra, `{"version":0}`)}, otherEra, at-100)
			s.sink.HandleChanges(nil, otherEra+1, at)
		}, 1, false},
		{"a higher version of a restored store", func(s *confirmStage, at spanrill.Millis) {
			s.sink.HandleList([]spanrill.Item{configItem(otherEra, `{"version":2}`)}, otherEra, at)
		}, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newConfirmStage()
			sentAt := s.manual.Now() - 50
			s.decode = func(value []byte) (*spanrill.RouteConfig, error) {
				if s.config.ConfirmedAt() == sentAt {
					t.Error("configuration confirmed by an answer of which it lacks a part")
				}
				return startDecode(value)
			}
			c.answer(s, sentAt)
			if got := s.config.Table().Version(); got != c.wantVersion {
				t.Errorf("version %d in force, want %d", got, c.wantVersion)
			}
			if confirmed := s.config.ConfirmedAt() == sentAt; confirmed != c.confirmed {
				t.Errorf("confirmed by the answer: %t, want %t", confirmed, c.confirmed)
			}
		})
	}
}
