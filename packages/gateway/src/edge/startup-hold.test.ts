/**
 * Guards against requests that are refused by a daemon which is ready a moment later, and against
 * requests that a daemon holds although it will not be ready soon.
 */
import { expect } from 'chai';

import { StartupHold } from './startup-hold.js';

describe('StartupHold', () => {
  let now = 0;
  let isReady = false;
  let released: readonly string[] = [];

  function createHold(): StartupHold {
    now = 0;
    isReady = false;
    released = [];
    return new StartupHold({ clock: { now: () => now }, canServe: () => isReady });
  }

  function add(hold: StartupHold, name: string, timeAllowedMs = 5000): boolean {
    return hold.tryHold(timeAllowedMs, () => {
      released = [...released, name];
    });
  }

  it('releases all requests in order as soon as they can be served', () => {
    const hold = createHold();
    expect([add(hold, 'a'), add(hold, 'b')]).to.deep.equal([true, true]);
    now = 300;
    hold.releaseDue();
    expect(released).to.deep.equal([]);
    isReady = true;
    hold.releaseDue();
    expect(released).to.deep.equal(['a', 'b']);
    expect(hold.size).to.equal(0);
    expect(add(hold, 'c')).to.equal(false);
  });

  it('releases a request in time for its caller to go elsewhere', () => {
    const hold = createHold();
    add(hold, 'patient');
    add(hold, 'hurried', 1000);
    now = 300;
    hold.releaseDue();
    expect(released).to.deep.equal(['hurried']);
    now = 800;
    hold.releaseDue();
    expect(released).to.deep.equal(['hurried', 'patient']);
  });

  it('holds nothing once a daemon takes longer to start than usual', () => {
    const hold = createHold();
    now = 1501;
    expect(add(hold, 'late')).to.equal(false);
  });
});
