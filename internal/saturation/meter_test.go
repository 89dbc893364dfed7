package saturation

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestScripts runs the files of testdata/scripts against one meter with a link of 1,000 bytes a
// second and a longest mean wait of 50 ms. Each line of a block "run" is a step:
//
//	traffic LENGTH SENT RECEIVED	for a time, each slot carries these shares of the link's capacity
//	busy LENGTH WAIT	for a time, each measurement of the processor waits
//
// Each change of the state is printed with the time since the start, and the state at the end.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			synctest.Test(t, func(t *testing.T) { runScript(t, d.Input, &out) })
			return out.String()
		})
	})
}

func runScript(t *testing.T, input string, out *strings.Builder) {
	t.Helper()
	is := is.New(t)
	start := time.Now()
	m := New(Config{LinkBytes: 1e6, MaxWait: 50 * time.Millisecond, Changed: func(s State, _ Use) {
		fmt.Fprintf(out, "%s: %s\n", time.Since(start), s)
	}})
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		length, err := time.ParseDuration(words[1])
		is.NoErr(err)
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(slotLength)
			switch words[0] {
			case "traffic":
				var sent, received float64
				_, err := fmt.Sscan(words[2]+" "+words[3], &sent, &received)
				is.NoErr(err)
				slot := 1e6 * slotLength.Seconds()
				m.count(int(sent*slot), int(received*slot))
				m.tick(0)
			case "busy":
				wait, err := time.ParseDuration(words[2])
				is.NoErr(err)
				m.tick(wait)
			}
		}
	}
	fmt.Fprintf(out, "saturated %v, for half a second %v\n", m.Saturated(), m.SaturatedFor(time.Second/2, 0))
}

// Guards against times that are taken for those of servers although the process delays answers itself:
// it does so before it is saturated, and for some time afterwards.
func TestNearCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Config{LinkBytes: 1e6, MaxWait: 50 * time.Millisecond})
		m.tick(0)
		is.True(!m.NearCapacityWithin(time.Second))
		m.count(int(0.47*1e6), 0)
		m.tick(0)
		is.True(!m.Saturated() && m.NearCapacityWithin(time.Second))
		time.Sleep(windowSlots * slotLength)
		m.tick(0)
		is.True(!m.NearCapacityWithin(time.Second))
		m.tick(90 * time.Millisecond) // a mean of 27 ms
		is.True(!m.Saturated() && m.NearCapacityWithin(time.Second))
		var none *Meter
		is.True(!none.NearCapacityWithin(time.Minute))
	})
}

// Guards against a load balancer that never sees a saturated process as such, since it asks once a
// second and the saturation comes and goes within that time.
func TestSaturationThatComesAndGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Config{MaxWait: 50 * time.Millisecond})
		wait := func(length, wait time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(slotLength) {
				m.tick(wait)
			}
		}
		wait(slotLength, 200*time.Millisecond) // a mean of 60 ms, which falls by 30% each time
		is.True(m.Saturated())
		wait(time.Second, 0)
		is.True(!m.SaturatedFor(500*time.Millisecond, 2*time.Second)) // too short
		wait(2*time.Second, maxWait)
		wait(1500*time.Millisecond, 0)
		is.True(!m.Saturated() && m.SaturatedFor(500*time.Millisecond, 2*time.Second))
		wait(2*time.Second, 0)
		is.True(!m.SaturatedFor(500*time.Millisecond, 2*time.Second))
	})
}

// Guards against a process that accepts connections although it can't run: then it does not measure
// either.
func TestProcessThatCannotMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Config{MaxWait: 50 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Minute)
		is.True(!m.Saturated())
		cancel()
		synctest.Wait()
		time.Sleep(windowSlots*slotLength + maxWait)
		is.True(m.Saturated())
		is.True(!New(Config{}).Saturated())
		var none *Meter
		is.True(!none.Saturated() && !none.SaturatedFor(0, time.Minute))
	})
}

// TestBytesOfConnections checks that the bytes of wrapped connections are counted, with an allowance
// for packets in both directions.
func TestBytesOfConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	m := New(Config{LinkBytes: 1e6})
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	client, server := m.Wrap(dialled), accepted
	defer client.Close()
	defer server.Close()
	_, err = client.Write(make([]byte, 100))
	is.NoErr(err)
	_, err = server.Write(make([]byte, 10))
	is.NoErr(err)
	_, err = client.Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(m.sum, traffic{sent: 100 + 2*packetBytes, received: 10 + 2*packetBytes})
	var none *Meter
	is.Equal(none.Wrap(dialled), dialled)
}
