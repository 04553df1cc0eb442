/**
 * Links between daemons that can be cut: every daemon reaches every other through a
 * fault-injecting proxy of its own, so that each direction of each pair can fail alone.
 */
import { FaultProxy } from '@baobabline/stand-ins';
import type { DirectionFault } from '@baobabline/stand-ins';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import type { DaemonSettings } from './daemon-process.js';

type MeshLink = { readonly from: number; readonly to: number; readonly proxy: FaultProxy };

const LOOPBACK = '127.0.0.1';

/** Asks the operating system for a port that is free now. */
async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

export class PartitionMesh {
  readonly #ports: readonly number[];

  readonly #links: readonly MeshLink[];

  private constructor(ports: readonly number[], links: readonly MeshLink[]) {
    this.#ports = ports;
    this.#links = links;
  }

  static async create(size: number): Promise<PartitionMesh> {
    const indexes = Array.from({ length: size }, (_, index) => index);
    const ports = await Promise.all(indexes.map(findFreePort));
    const links = indexes.flatMap((from) =>
      indexes
        .filter((to) => to !== from)
        .map((to) => ({
          from,
          to,
          proxy: new FaultProxy({ address: LOOPBACK, port: ports[to] as number }),
        })),
    );
    await Promise.all(links.map(({ proxy }) => proxy.start()));
    return new PartitionMesh(ports, links);
  }

  /** What the daemon with this index needs in its settings. */
  buildSettings(index: number): Partial<DaemonSettings> {
    const own = this.#links.filter(({ from }) => from === index);
    return {
      peers: { address: LOOPBACK, port: this.#ports[index] as number },
      connectOverrides: own.map(({ to, proxy }) => ({
        from: { address: LOOPBACK, port: this.#ports[to] as number },
        to: { address: LOOPBACK, port: proxy.port },
      })),
    };
  }

  /** Cuts all links between the daemons below `boundary` and the rest, both ways. */
  split(boundary: number): void {
    this.#setFault(({ from, to }) => from < boundary !== to < boundary, 'drop');
  }

  /** Lets nothing through that one daemon starts to say to another. */
  dropOneWay(fromIndex: number, toIndex: number): void {
    this.#setFault(({ from, to }) => from === fromIndex && to === toIndex, 'drop');
  }

  reset(): void {
    this.#setFault(() => true, 'none');
  }

  async stop(): Promise<void> {
    await Promise.all(this.#links.map(({ proxy }) => proxy.stop()));
  }

  #setFault(matches: (link: MeshLink) => boolean, fault: DirectionFault): void {
    this.#links.filter(matches).forEach(({ proxy }) => {
      proxy.setFault('forward', fault);
      proxy.setFault('backward', fault);
    });
  }
}
