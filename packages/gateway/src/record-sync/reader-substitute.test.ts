import { expect } from 'chai';

import { ReaderSubstitute } from './reader-substitute.js';

describe('the substitute of silent readers', () => {
  let substitute: ReaderSubstitute;

  beforeEach(() => {
    substitute = new ReaderSubstitute();
  });

  it('is the one with the lowest id of those that begin together, in whatever order', () => {
    ['vm-3', 'vm-2', 'vm-4'].forEach((id, index) => substitute.offer(id, 1000 + index));
    expect(substitute.find(1100)).to.equal('vm-2');
  });

  it('is replaced by one that begins later, since it was lost then', () => {
    substitute.offer('vm-2', 1000);
    substitute.offer('vm-3', 1900);
    expect(substitute.find(1900)).to.equal('vm-3');
  });

  it('is none once it is silent', () => {
    expect(substitute.find(0)).to.equal(undefined);
    substitute.offer('vm-2', 1000);
    substitute.recordHeard('vm-2', 2000);
    substitute.recordHeard('vm-3', 9000);
    expect([substitute.find(3500), substitute.find(3501)]).to.deep.equal(['vm-2', undefined]);
  });
});
