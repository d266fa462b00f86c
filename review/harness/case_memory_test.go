//go:build review

package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB = 284.0 // memoryMb of the settings
	// A photo is as long as the configuration's maxBodyBytes allows, and takes 2.5 s on the
	// consumer's line.
	photoBytes  = 4194304
	photoUpload = 2500 * time.Millisecond
	// usualUploads are under way at each node at any time, burstUploads during the burst: 2.6
	// times as many.
	usualUploads = 12
	burstUploads = 31
	// Each node has consumers that wait for a lookup on a kept connection all the time.
	keptLookups = 8
)

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory kills a node's process when it exceeds its memory, as the platform does, and
// starts it again.
func enforceMemory(b *bench, n *node, until time.Time, killed *atomic.Int32) (peak float64) {
	for time.Now().Before(until) {
		m := memoryOf(n.pid())
		peak = max(peak, m)
		if m > memoryMB {
			killed.Add(1)
			b.record.note("%s exceeds its memory with %.0f MB and is killed", n.name, m)
			n.kill()
			time.Sleep(500 * time.Millisecond)
			n.start()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return peak
}

// keptLookup sends lookups on one connection, one after the other, and counts those that a
// replica has begun to run and whose connection then ended without an answer.
func keptLookup(b *bench, n *node, until time.Time, lost *atomic.Int32) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", n.callers, time.Second)
		if err != nil {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		answers := bufio.NewReader(conn)
		for time.Now().Before(until) {
			id := newID()
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: booking.example\r\n%s: %s\r\n%s: 5000\r\n%s: %s\r\n\r\n", lookupPath, headerID, id, headerDeadline, headerKey, consumerKey)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				if len(b.record.uris(id)) > 0 {
					lost.Add(1)
					b.record.add("lost     %s: run by a replica, the connection to %s ended without an answer: %v", id, n.name, err)
				}
				break
			}
			_, _ = bufio.NewReader(resp.Body).WriteTo(new(strings.Builder))
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				time.Sleep(200 * time.Millisecond)
			}
		}
		_ = conn.Close()
	}
}

// memory plays a burst of consumers that send bodies as long as the configuration allows.
func memory(b *bench) int {
	deploy(b, 2, 8, 4, 700*time.Millisecond)
	var out results
	var killed, lost atomic.Int32
	began := time.Now()
	until := began.Add(36 * time.Second)
	burst := func() bool {
		at := time.Since(began)
		return b.trouble && at > 10*time.Second && at < 16*time.Second
	}
	var flows sync.WaitGroup
	peaks := make([]float64, len(b.nodes))
	for i, n := range b.nodes {
		flows.Go(func() { peaks[i] = enforceMemory(b, n, until, &killed) })
		for range keptLookups {
			flows.Go(func() { keptLookup(b, n, until, &lost) })
		}
		for j := range burstUploads {
			flows.Go(func() {
				time.Sleep(time.Duration(j%usualUploads) * photoUpload / usualUploads)
				for time.Now().Before(until.Add(-5 * time.Second)) {
					if j >= usualUploads && !burst() {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					if send(b.record, &out, n.callers, call{method: "POST", path: archivePath, key: consumerKey, body: make([]byte, photoBytes), uploadTime: photoUpload, budget: 10 * time.Second}).status != http.StatusOK {
						time.Sleep(time.Second)
					}
				}
			})
		}
	}
	flows.Wait()
	served, share := servedShare(out.between(began, until))
	b.record.note("peaks of memory: %.0f MB; uploads served: %d, %.0f%%; processes ended by their memory: %d; requests on kept connections that a replica ran and that got no answer: %d",
		peaks, served, 100*share, killed.Load(), lost.Load())
	if lost.Load() > 3 {
		b.record.note("LOST is broken")
		return exitBroken
	}
	return exitHeld
}
