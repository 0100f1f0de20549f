package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// addedMachine: after a first wave, a machine joins; the next wave asks for its upkeep.
func addedMachine(d *deployment, trouble bool) (result, error) {
	p, err := startPlatform(d.address(platformHost, platformPort), d.record)
	if err != nil {
		return result{}, err
	}
	defer p.close()
	p.join("m-1")
	if !trouble {
		p.join("m-new")
	}
	if !d.order(0, wire.PutConfiguration, configuration(3, "k-1"), 30*time.Second) {
		return result{}, errSetup
	}
	const wave = `{"wave":%d,"machines":[%q],"durationS":20,"cap":1}`
	if !d.order(0, wire.StartWave, fmt.Sprintf(wave, 1, "m-1"), 10*time.Second) {
		return result{}, errors.New("wave 1 wasn't acknowledged")
	}
	if !d.waveCompleted(1, 25*time.Second) {
		return result{}, errors.New("wave 1 wasn't completed")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		p.join("m-new")
	}
	time.Sleep(5 * time.Second)
	if !d.order(1, wire.StartWave, fmt.Sprintf(wave, 2, "m-new"), 10*time.Second) {
		return result{}, errors.New("wave 2 wasn't acknowledged")
	}
	completed := d.waveCompleted(2, 25*time.Second)
	begun := p.upkeepsOf("m-new")
	d.record.add("operator: wave 2 is completed: %t; upkeeps of m-new that have begun: %d", completed, begun)
	if completed && begun == 0 {
		return result{true, "MIXED: wave 2 is said to be completed, and its machine m-new, which is up, hasn't begun its upkeep"}, nil
	}
	return result{what: fmt.Sprintf("wave 2 is completed: %t; upkeeps of m-new that have begun: %d", completed, begun)}, nil
}

// waveCompleted asks for the state of a wave until it is completed, for limit at most.
func (d *deployment) waveCompleted(id int, limit time.Duration) bool {
	core := 0
	return waitUntil(limit, func() bool {
		core++
		time.Sleep(300 * time.Millisecond)
		status, body := send("GET", "http://"+d.address(coreHost+core%d.cores, operatorPort)+fmt.Sprintf(wire.GetWave, id), "", "", operatorWait)
		d.record.add("operator: wave-get/%d at core-%d is answered %d %s", id, 1+core%d.cores, status, body)
		return status == 200 && strings.Contains(body, "completed")
	})
}

// slowPlatform: a wave of four machines with a cap of one, while each answer of the platform takes 0.3 s.
func slowPlatform(d *deployment, trouble bool) (result, error) {
	p, err := startPlatform(d.address(platformHost, platformPort), d.record)
	if err != nil {
		return result{}, err
	}
	defer p.close()
	p.pageSize = 1
	var names []string
	for i := range 4 {
		names = append(names, fmt.Sprintf("m-%d", 1+i))
		p.join(names[i])
	}
	if trouble {
		d.record.add("trouble: the platform is slow")
		p.slow = 300 * time.Millisecond
	}
	if !d.order(0, wire.PutConfiguration, configuration(3, "k-1"), 30*time.Second) {
		return result{}, errSetup
	}
	wave := fmt.Sprintf(`{"wave":1,"machines":["%s"],"durationS":40,"cap":1}`, strings.Join(names, `","`))
	if !d.order(0, wire.StartWave, wave, 10*time.Second) {
		return result{}, errors.New("the wave wasn't acknowledged")
	}
	completed := d.waveCompleted(1, 60*time.Second)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	what := fmt.Sprintf("at most %d machines of the wave, whose cap is 1, were down at once; completed: %t", p.mostDown, completed)
	return result{p.mostDown > 1, what}, nil
}
