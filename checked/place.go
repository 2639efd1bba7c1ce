package checked

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// place returns the line and column of an offset, both counted from 1.
func place(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// offsets returns where the value of each field starts.
func offsets(data []byte) map[string]int64 {
	w := walker{dec: json.NewDecoder(bytes.NewReader(data)), data: data, found: map[string]int64{}}
	w.value("")
	return w.found
}

type walker struct {
	dec   *json.Decoder
	data  []byte
	found map[string]int64
}

// value reads one value and notes where it and the values inside it start.
func (w *walker) value(path string) {
	w.found[path] = w.start()
	t, err := w.dec.Token()
	if err != nil {
		return
	}
	switch t {
	case json.Delim('{'):
		w.object(path)
	case json.Delim('['):
		w.array(path)
	}
}

func (w *walker) object(path string) {
	for w.dec.More() {
		name, err := w.dec.Token()
		if err != nil {
			return
		}
		key, _ := name.(string)
		w.value(path + "/" + key)
	}
	_, _ = w.dec.Token()
}

func (w *walker) array(path string) {
	for i := 0; w.dec.More(); i++ {
		w.value(path + "/" + strconv.Itoa(i))
	}
	_, _ = w.dec.Token()
}

// start returns the offset of the next value, behind separators and space.
func (w *walker) start() int64 {
	offset := w.dec.InputOffset()
	for offset < int64(len(w.data)) && bytes.IndexByte([]byte(" \t\r\n:,"), w.data[offset]) >= 0 {
		offset++
	}
	return offset
}
