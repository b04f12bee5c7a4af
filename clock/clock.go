package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Clock starts at the current time of day and then advances steadily, without
// following later changes of the time of day.
type Clock struct {
	startTime    time.Time
	startReading time.Duration
	// readKernel returns the current reading of the kernel's clock.
	readKernel func() time.Duration
}

// New returns a clock that starts now. If the kernel has no clock that includes
// suspension, the clock follows Go's monotonic clock.
func New() *Clock {
	readKernel := timeSinceBoot
	if _, ok := readBoottime(); !ok {
		start := time.Now()
		readKernel = func() time.Duration { return time.Since(start) }
	}
	return newClock(time.Now(), readKernel)
}

func newClock(startTime time.Time, readKernel func() time.Duration) *Clock {
	return &Clock{startTime: startTime.Round(0), startReading: readKernel(), readKernel: readKernel}
}

// Now returns the current time of the clock. The difference of two such times is
// the time that passed between them, including suspension.
func (c *Clock) Now() time.Time { return c.startTime.Add(c.readKernel() - c.startReading) }

// readBoottime reads CLOCK_BOOTTIME, the time since the machine's boot including
// suspension. The system call never blocks, so it is made without informing the
// Go scheduler.
func readBoottime() (time.Duration, bool) {
	var timespec unix.Timespec
	_, _, failure := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&timespec)), 0)
	if failure != 0 {
		return 0, false
	}
	return time.Duration(timespec.Nano()), true
}

func timeSinceBoot() time.Duration {
	reading, _ := readBoottime()
	return reading
}
