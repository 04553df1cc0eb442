/**
 * Sends and receives reports by UDP: a lost one is made up for by the next.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import { formatReport, parseReport } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

export type SocketPorts = {
  readonly onReport: (report: DispatcherReport) => void;
  readonly onFault: (reason: string) => void;
};

export class ReportSocket {
  readonly #socket: Socket = createSocket('udp4');

  readonly #ports: SocketPorts;

  readonly #seen = new Map<string, readonly [incarnation: number, sequence: number]>();

  constructor(ports: SocketPorts) {
    this.#ports = ports;
    this.#socket.on('message', (datagram) => this.#handleDatagram(datagram));
    this.#socket.on('error', (error) => ports.onFault(error.message));
  }

  async listen(address: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#socket.bind(port, address, resolve);
    });
  }

  send(report: DispatcherReport, addresses: readonly string[], port: number): void {
    const datagram = formatReport(report);
    addresses.forEach((address) => this.#socket.send(datagram, port, address));
  }

  close(): void {
    this.#socket.close();
  }

  #handleDatagram(datagram: Buffer): void {
    const report = parseReport(datagram);
    if (!report) {
      this.#ports.onFault('a datagram is no report');
      return;
    }
    const { reporterId, incarnation, sequence } = report;
    const [seenIncarnation, seenSequence] = this.#seen.get(reporterId) ?? [0, 0];
    if (incarnation < seenIncarnation) return;
    if (incarnation === seenIncarnation && sequence <= seenSequence) return;
    this.#seen.set(reporterId, [incarnation, sequence]);
    this.#ports.onReport(report);
  }
}
