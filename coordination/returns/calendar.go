package returns

import "spanrill"

// calendar counts the returns that are planned in each of its slots. It covers the slots from now
// to the longest retry time; earlier ones are overwritten.
type calendar struct {
	slots [slotCount]slot
}

// slot counts the returns planned in a slot.
type slot struct {
	number     int64                    // since the start of the clock
	promised   [spanrill.ClassCount]int // by class
	unpromised int
}

// returns returns the number of all returns.
func (s *slot) returns() int {
	n := s.unpromised
	for _, count := range s.promised {
		n += count
	}
	return n
}

const (
	// slotMillis is the length of a slot. Starts within this time are not felt as late.
	slotMillis = 50 * spanrill.Millis(1)
	// slotCount is the number of slots: those of maxReturn, and the joined slots at either end.
	slotCount = int64(maxReturn/slotMillis) + 2*maxBinSlots
)

// slotOf returns the number of the slot that a time is in.
func slotOf(at spanrill.Millis) int64 {
	n := int64(at / slotMillis)
	if at < 0 && at%slotMillis != 0 {
		n--
	}
	return n
}

// at returns a slot, emptied if it holds an earlier one.
func (c *calendar) at(number int64) *slot {
	s := &c.slots[((number%slotCount)+slotCount)%slotCount]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// promised returns the number of returns of a class and less urgent ones that were promised room in
// some slots.
func (c *calendar) promised(first, slots int64, class spanrill.Class) int {
	n := 0
	for number := first; number < first+slots; number++ {
		for _, count := range c.at(number).promised[class:] {
			n += count
		}
	}
	return n
}

const (
	// minPerBin is the number of returns for which slots are joined at low rates, so that whole
	// numbers of returns come close to the rate.
	minPerBin = 4
	// maxBinSlots is the number of slots that are joined at most.
	maxBinSlots = 64
)

// binSlots returns how many slots are joined at a rate of returns per second.
func binSlots(perSecond float64) int64 {
	slots := int64(1)
	for slots < maxBinSlots && perSecond*seconds(spanrill.Millis(slots)*slotMillis) < minPerBin {
		slots *= 2
	}
	return slots
}

func seconds(t spanrill.Millis) float64 { return float64(t) / float64(spanrill.Second) }
