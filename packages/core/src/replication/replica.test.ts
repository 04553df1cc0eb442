import { expect } from 'chai';
import fc from 'fast-check';

import { Replica } from './index.js';
import type { PublishedRecord, StoredRecord } from './index.js';
import { buildConfiguration, buildUpstream } from './store-model.js';

function buildRecord(id: string, revision: number): PublishedRecord {
  return { key: `servers/${id}`, era: 1, revision, upstream: buildUpstream(id) };
}

function listIds(replica: Replica): readonly string[] {
  return replica
    .listUpstreams()
    .map(({ id }) => id)
    .sort();
}

describe('Replica', () => {
  it('does not restore a removed record from an older record or a stale snapshot', () => {
    const replica = new Replica();
    replica.applyStoreChanges(1, { records: [buildRecord('a', 5)], revision: 5, isWhole: true }, 0);
    replica.applyStoreChanges(
      1,
      { records: [{ key: 'servers/a', revision: 7 }], revision: 7, isWhole: false },
      0,
    );
    replica.applyStoreChanges(1, { records: [buildRecord('a', 5)], revision: 6, isWhole: true }, 0);
    expect(listIds(replica)).to.deep.equal([]);
    expect(replica.revision).to.equal(7);
  });

  it('removes records missing from a snapshot, unless they are newer than the snapshot', () => {
    const replica = new Replica();
    replica.applyStoreChanges(
      1,
      { records: [buildRecord('a', 3), buildRecord('b', 9)], revision: 9, isWhole: true },
      0,
    );
    replica.applyStoreChanges(1, { records: [], revision: 8, isWhole: true }, 0);
    expect(listIds(replica)).to.deep.equal(['b']);
  });

  it('keeps the configuration with the highest version, whatever its key contains later', () => {
    const replica = new Replica();
    const key = 'op/config';
    const apply = (record: StoredRecord): void => {
      const { revision } = record;
      replica.applyStoreChanges(1, { records: [record], revision, isWhole: false }, 0);
    };
    apply({ key, revision: 4, configuration: buildConfiguration(8) });
    apply({ key, revision: 5, configuration: buildConfiguration(6) });
    apply({ key, revision: 6 });
    expect(replica.configuration?.version).to.equal(8);
  });

  describe('while the store holds a configuration that it cannot use', () => {
    const key = 'op/config';
    const seven: StoredRecord = { key, revision: 4, configuration: buildConfiguration(7) };
    const apply = (replica: Replica, record: StoredRecord, isWhole = false, era = 1): void => {
      const { revision } = record;
      replica.applyStoreChanges(era, { records: [record], revision, isWhole }, 0);
    };
    const create = (): Replica => {
      const replica = new Replica();
      apply(replica, seven, true);
      return replica;
    };

    it('keeps the one in force and says so, until a usable one is written', () => {
      const replica = create();
      expect(replica.unusableConfiguration).to.equal(undefined);
      apply(replica, { key, revision: 6 });
      expect(replica.configuration?.version).to.equal(7);
      expect(replica.unusableConfiguration).to.include({ era: 1, revision: 6 });
      apply(replica, { ...seven, revision: 5 });
      expect(replica.unusableConfiguration).to.include({ revision: 6 });
      apply(replica, { key, revision: 8 });
      // Another daemon that could not use it may have told of it first.
      apply(replica, { key, revision: 8, configuration: buildConfiguration(9) });
      expect(replica.unusableConfiguration).to.equal(undefined);
      apply(replica, { key, revision: 7 });
      expect(replica.unusableConfiguration).to.equal(undefined);
      expect(replica.configuration?.version).to.equal(9);
    });

    it('tells other daemons, whatever they know already', () => {
      const replica = create();
      const follower = new Replica();
      follower.applyChanges(replica.listChangesSince(follower.known), 0);
      apply(replica, { key, revision: 6 });
      follower.applyChanges(replica.listChangesSince(follower.known), 0);
      expect(follower.unusableConfiguration).to.include({ revision: 6 });
      expect(replica.listChangesSince(follower.known).records).to.deep.equal([]);
      const starting = new Replica();
      starting.applyChanges(follower.listChangesSince(starting.known), 0);
      expect(starting.configuration?.version).to.equal(7);
      expect(starting.unusableConfiguration).to.include({ revision: 6 });
    });

    it('counts a key that a whole read does not show as one, also at other daemons', () => {
      const replica = create();
      const follower = new Replica();
      follower.applyChanges(replica.listChangesSince(follower.known), 0);
      apply(replica, { ...buildRecord('a', 4) }, true);
      expect(replica.unusableConfiguration).to.include({ era: 1 });
      follower.applyChanges(replica.listChangesSince(follower.known), 0);
      expect(follower.unusableConfiguration).to.include({ era: 1 });
      apply(replica, { ...seven, revision: 5 });
      expect(replica.unusableConfiguration).to.equal(undefined);
      follower.applyChanges(replica.listChangesSince(follower.known), 0);
      expect(follower.unusableConfiguration).to.equal(undefined);
    });

    it('begins anew with a store that came back from a copy without it', () => {
      const replica = create();
      apply(replica, { key, revision: 6 });
      apply(replica, { ...seven, revision: 5 }, true, 2);
      expect(replica.unusableConfiguration).to.equal(undefined);
      expect(replica.configuration?.version).to.equal(7);
      apply(replica, { key, revision: 6 }, false, 2);
      expect(replica.unusableConfiguration).to.include({ era: 2, revision: 6 });
    });
  });

  // A removed key was in force again: a lower version that was written again after a restore came first.
  it('never goes back to a lower version that is written again after a restore', () => {
    const key = 'op/config';
    const build = (version: number, revision: number): StoredRecord => ({
      key,
      revision,
      configuration: buildConfiguration(version),
    });
    const [reader, follower] = [new Replica(), new Replica()];
    const versions: (number | undefined)[] = [];
    const apply = (era: number, record: StoredRecord, isWhole = false): void => {
      const { revision } = record;
      reader.applyStoreChanges(era, { records: [record], revision, isWhole }, 0);
      follower.applyChanges(reader.listChangesSince(follower.known), 0);
      versions.push(reader.configuration?.version, follower.configuration?.version);
    };
    apply(1, build(10, 20), true);
    apply(1, build(11, 30));
    apply(1, build(12, 31));
    apply(2, build(10, 20), true);
    // Written again, at revisions that the first era had and at later ones.
    apply(2, build(11, 21));
    apply(2, build(11, 40));
    apply(2, build(12, 41));
    apply(2, build(13, 42));
    expect(versions).to.deep.equal([10, 11, 12, 12, 12, 12, 12, 13].flatMap((one) => [one, one]));
  });

  it('has the configuration of another daemon unless that would replace its own', () => {
    const key = 'op/config';
    const build = (version: number, era: number, revision: number, copyEnd = 0): Replica => {
      const replica = new Replica();
      replica.recordEras(
        era > 1
          ? [
              [era, copyEnd],
              [1, 1],
            ]
          : [[1, 1]],
        0,
      );
      const records = [{ key, revision, configuration: buildConfiguration(version) }];
      replica.applyStoreChanges(era, { records, revision, isWhole: false }, 0);
      return replica;
    };
    const isHeld = (own: Replica, other: Replica): boolean => {
      const { configurationPosition } = other;
      return configurationPosition !== undefined && own.hasConfiguration(configurationPosition);
    };
    const seven = build(7, 1, 30);
    expect(isHeld(seven, build(7, 1, 30)), 'the same').to.equal(true);
    expect(isHeld(seven, build(6, 1, 20)), 'an older one').to.equal(true);
    expect(isHeld(seven, build(8, 1, 40)), 'a newer one').to.equal(false);
    expect(isHeld(seven, build(5, 2, 40, 20)), 'of an era that is unknown here').to.equal(false);
    expect(isHeld(build(7, 2, 40, 20), seven), 'the same of an earlier era').to.equal(true);
    expect(isHeld(build(8, 2, 40, 20), seven), 'an older one of an earlier era').to.equal(true);
    expect(isHeld(build(5, 2, 40, 20), seven), 'a newer one of an earlier era').to.equal(false);
    expect(isHeld(build(5, 2, 40, 50), build(6, 2, 45, 20)), 'with a lower bound').to.equal(false);
    expect(isHeld(new Replica(), seven), 'without any').to.equal(false);
  });

  it('brings another replica up to date from any revision', () => {
    const events = fc.array(
      fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), isRemoved: fc.boolean() }),
      { minLength: 1, maxLength: 30 },
    );
    fc.assert(
      fc.property(events, fc.nat(30), (rows, cut) => {
        const records = rows.map(({ id, isRemoved }, index): PublishedRecord => {
          const revision = index + 2;
          return isRemoved ? { key: `servers/${id}`, era: 1, revision } : buildRecord(id, revision);
        });
        const full = new Replica();
        full.applyStoreChanges(1, { records, revision: records.length + 1, isWhole: false }, 0);
        const partial = new Replica();
        const known = records.slice(0, cut);
        partial.applyStoreChanges(
          1,
          { records: known, revision: known.length + 1, isWhole: false },
          0,
        );
        partial.applyChanges(full.listChangesSince(partial.known), 0);
        expect(listIds(partial)).to.deep.equal(listIds(full));
        expect(partial.revision).to.equal(full.revision);
      }),
    );
  });

  it('sends a snapshot to a replica that is older than the pruned tombstones', () => {
    const replica = new Replica({ tombstoneMs: 100 });
    replica.applyStoreChanges(1, { records: [buildRecord('a', 2)], revision: 2, isWhole: true }, 0);
    replica.applyStoreChanges(
      1,
      { records: [{ key: 'servers/a', revision: 3 }], revision: 3, isWhole: false },
      0,
    );
    replica.runTick(200);
    const changes = replica.listChangesSince([[1, 2]]);
    expect(changes.isWhole).to.equal(true);
    const old = new Replica();
    old.applyStoreChanges(1, { records: [buildRecord('a', 2)], revision: 2, isWhole: true }, 0);
    old.applyChanges(changes, 0);
    expect(listIds(old)).to.deep.equal([]);
  });
});
