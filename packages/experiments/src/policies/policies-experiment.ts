/**
 * Every policy under every fault, and the gateway's own with one, three and twelve dispatchers, with
 * and without news among them.
 */
import { printProgress } from '../runner/report.js';
import { EMULATED_FAULTS, Emulator } from './emulator.js';
import type { EmulatedFault, EmulationResult } from './emulator.js';
import { POLICY_NAMES } from './placement-policies.js';
import type { PolicyName } from './placement-policies.js';

export type PoliciesOptions = {
  readonly seed: number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
};

export type PolicyRow = EmulationResult & {
  readonly policy: PolicyName;
  readonly fault: EmulatedFault;
};

export type DispatcherRow = EmulationResult & {
  readonly dispatchers: number;
  readonly isPooled: boolean;
};

export type PoliciesResult = {
  readonly policies: readonly PolicyRow[];
  readonly dispatchers: readonly DispatcherRow[];
};

const USUAL_DISPATCHERS = 3;
const DISPATCHER_COUNTS: readonly number[] = [1, 3, 12];

export class PoliciesExperiment {
  readonly #options: PoliciesOptions;

  constructor(options: PoliciesOptions) {
    this.#options = options;
  }

  measure(): PoliciesResult {
    return { policies: this.#measurePolicies(), dispatchers: this.#measureDispatchers() };
  }

  #measurePolicies(): readonly PolicyRow[] {
    return EMULATED_FAULTS.flatMap((fault) =>
      POLICY_NAMES.map((policy) => {
        printProgress(`${fault}, ${policy}`);
        const usual = { dispatchers: USUAL_DISPATCHERS, isPooled: true };
        return {
          policy,
          fault,
          ...new Emulator({ ...this.#options, ...usual, policy, fault }).run(),
        };
      }),
    );
  }

  #measureDispatchers(): readonly DispatcherRow[] {
    return DISPATCHER_COUNTS.flatMap((dispatchers) =>
      [true, false].map((isPooled) => {
        printProgress(`${dispatchers} dispatchers, ${isPooled ? 'pooled' : 'alone'}`);
        const fixed = { policy: 'risk', fault: 'errors' } as const;
        const emulator = new Emulator({ ...this.#options, ...fixed, dispatchers, isPooled });
        return { dispatchers, isPooled, ...emulator.run() };
      }),
    );
  }
}
