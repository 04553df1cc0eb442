import { expect } from 'chai';
import fc from 'fast-check';

import { computeDigest, createRandom, hashText } from '../runtime/index.js';
import {
  buildManifest,
  chooseReaders,
  DocumentStore,
  drawFallbackDelayMs,
  joinParts,
  parseManifest,
  splitDocument,
} from './index.js';

function buildVmList(version: number): string {
  return JSON.stringify({ version, upstreams: [], entryVms: [] });
}

describe('DocumentStore', () => {
  it('never replaces a document by an older version, in any order of publications', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }), (versions) => {
        const store = new DocumentStore();
        versions.reduce((highest, version) => {
          store.offer('vm-list', buildVmList(version));
          const expected = Math.max(highest, version);
          expect(store.getVersion('vm-list')).to.equal(expected);
          expect(store.vmList?.version).to.equal(expected);
          return expected;
        }, 0);
      }),
      { seed: 5 },
    );
  });

  it('keeps the last valid document when a newer one is invalid', () => {
    const store = new DocumentStore();
    store.offer('vm-list', buildVmList(1));
    expect(store.offer('vm-list', '{"version":2}').kind).to.equal('refused');
    expect(store.offer('vm-list', 'not json').kind).to.equal('refused');
    expect(store.getVersion('vm-list')).to.equal(1);
    expect(store.refusedCount).to.equal(2);
  });
});

describe('document parts', () => {
  it('restore a long document, and refuse a part that does not match its digest', () => {
    const text = 'x'.repeat(2500);
    const parts = splitDocument('lists', text, 1000, computeDigest);
    expect(parts).to.have.length(3);
    expect(parseManifest(buildManifest(parts))).to.have.length(3);
    expect(joinParts(parts, computeDigest)).to.equal(text);
    const corrupt = parts.map((part, index) => (index === 1 ? { ...part, text: 'y' } : part));
    expect(() => joinParts(corrupt, computeDigest)).to.throw('does not match its digest');
  });
});

describe('readers of documents', () => {
  it('are two daemons per data centre at any fleet size', () => {
    const counts = [6, 36, 510].map((size) => {
      const daemons = Array.from({ length: size }, (_, index) => ({
        id: `entry-${index}`,
        dataCentre: `dc-${index % 3}`,
      }));
      return chooseReaders('dc-1', daemons, hashText).length;
    });
    expect(counts).to.deep.equal([2, 2, 2]);
  });

  it('stay within the read budget of the fleet when all daemons fall back to reading', () => {
    const random = createRandom(1);
    const delays = Array.from({ length: 510 }, () => drawFallbackDelayMs(510, 20, random));
    const perSecond = 510 / (Math.max(...delays) / 1000);
    expect(perSecond).to.be.below(20);
    expect(510_000 / Math.min(...delays)).to.be.below(41);
  });
});
