/**
 * The faults of the detection experiment: how each is set on an upstream, and whether the
 * upstream is truly sick, so that ejecting it is right.
 */
import type { FaultProxy, UpstreamStandIn } from '@baobabline/stand-ins';

export const DETECTION_FAULTS = [
  'stall',
  'slow',
  'errors',
  'flap',
  'one-way',
  'silent',
  'crash',
  'lying-health',
  'poison',
  'wave',
  'none',
] as const;

export type DetectionFault = (typeof DETECTION_FAULTS)[number];

/** An upstream under test with the proxy before it. */
export type FaultTarget = {
  readonly upstream: UpstreamStandIn;
  readonly proxy: FaultProxy;
};

const ACTIONS: Readonly<Record<DetectionFault, (target: FaultTarget) => void>> = {
  stall: ({ upstream }) => upstream.setFault('stall'),
  slow: ({ upstream }) => upstream.setFault('slow'),
  errors: ({ upstream }) => upstream.setFault('errors'),
  flap: ({ upstream }) => upstream.setFault('flap'),
  'lying-health': ({ upstream }) => upstream.setFault('slow', true),
  crash: ({ upstream }) => {
    upstream.crash().catch(() => undefined);
  },
  'one-way': ({ proxy }) => proxy.setFault('backward', 'drop'),
  silent: ({ proxy }) => proxy.silence(),
  poison: () => undefined,
  wave: () => undefined,
  none: () => undefined,
};

/** Sets a fault. */
export function applyFault(fault: DetectionFault, target: FaultTarget): void {
  ACTIONS[fault](target);
}

/** Whether the fault makes the upstream sick for everyone, so that it should be ejected. */
export function isSickness(fault: DetectionFault): boolean {
  return !['silent', 'poison', 'wave', 'none'].includes(fault);
}
