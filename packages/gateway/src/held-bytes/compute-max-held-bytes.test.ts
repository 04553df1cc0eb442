import { expect } from 'chai';

import { computeMaxHeldBytes } from './compute-max-held-bytes.js';

const MAX_BYTES = 96 * 1024 * 1024;

describe('the bound of the bytes that are held', () => {
  function compute(memoryMegabytes?: number): number {
    return computeMaxHeldBytes({ maxHeldBytes: MAX_BYTES, machine: { memoryMegabytes } });
  }

  // With 96 MiB held a process takes 238 MB, so that one on a VM of 202 MB was killed.
  it('leaves room for the process on VMs with little memory', () => {
    expect(compute(202)).to.equal(42_000_000);
    expect(compute(250)).to.equal(90_000_000);
    expect(compute(100)).to.equal(8 * 1024 * 1024);
  });

  it('is the configured one where the memory suffices or is not stated', () => {
    expect([compute(350), compute(602), compute()]).to.deep.equal([
      MAX_BYTES,
      MAX_BYTES,
      MAX_BYTES,
    ]);
  });
});
