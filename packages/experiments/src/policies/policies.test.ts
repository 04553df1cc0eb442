import { expect } from 'chai';

import { EMULATED_FAULTS, Emulator } from './emulator.js';
import type { EmulationOptions, EmulationResult } from './emulator.js';

const OPTIONS: EmulationOptions = {
  seed: 3,
  seconds: 40,
  policy: 'risk',
  fault: 'errors',
  dispatchers: 3,
  isPooled: true,
  requestsPerSecond: 130,
};

function run(changes: Partial<EmulationOptions>): EmulationResult {
  return new Emulator({ ...OPTIONS, ...changes }).run();
}

describe('placement under gray failures, emulated', () => {
  it('is the same from the same seed', () => {
    expect(run({ seconds: 5 })).to.deep.equal(run({ seconds: 5 }));
  });

  it('loses less than a fifth of what load alone loses, of requests that may run once', () => {
    expect(run({}).onceFailed).to.be.lessThan(run({ policy: 'least-loaded' }).onceFailed / 5);
  });

  it('loses a third less with twelve dispatchers that tell each other than with twelve that do not', () => {
    const alone = run({ dispatchers: 12, isPooled: false });
    const pooled = run({ dispatchers: 12 });
    expect(pooled.onceFailed).to.be.lessThan((alone.onceFailed * 2) / 3);
  });

  EMULATED_FAULTS.forEach((fault) => {
    it(`answers no fewer in time than load alone under ${fault}`, () => {
      const seconds = 30;
      const baseline = run({ policy: 'least-loaded', fault, seconds });
      expect(run({ fault, seconds }).inTime).to.be.at.least(baseline.inTime - 0.01);
    });
  });
});
