// Users: submit, poll and cancel (PROTOCOL, "Users -> controller nodes"). The load balancer's choice of a node is made
// for each connection; a user keeps the connection while it lasts.
import http from 'node:http';
import { call, sleep } from './util.mjs';

/** A batch job of one team; every field of a submission is present. */
export function submission(nameId, fields = {}) {
  return {
    nameId,
    lot: 'plan-rebuilds',
    crew: 'clinic-tools',
    shape: 'batch',
    rank: 'normal',
    pieces: 1,
    cpus: 4.0,
    accelerators: 0.0,
    memGb: 6.0,
    kit: 'img-01',
    pullGb: 0.2,
    builds: null,
    yard: null,
    oneZone: false,
    scatter: false,
    loaners: false,
    guessS: 20.0,
    bookmarkS: 0.0,
    stowS: 0.0,
    dueS: null,
    ...fields,
  };
}

export class User {
  constructor(cluster, nodeIndex = null) {
    this.cluster = cluster;
    this.node = nodeIndex ?? Math.floor(Math.random() * cluster.count);
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async ask(method, path, body, timeoutMs) {
    const { label, port } = this.cluster.nodes[this.node];
    if (body !== undefined) this.cluster.note('sent', { to: `${method} ${path}`, node: label, body });
    const answer = await call(this.agent, port, method, path, body, timeoutMs);
    this.cluster.note('answer', { to: `${method} ${path}`, node: label, status: answer?.status ?? null, id: answer?.body?.nameId, phase: answer?.body?.phase });
    return answer;
  }

  /** Another connection, to another node. */
  move() {
    this.node = (this.node + 1) % this.cluster.count;
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Submits the job as a user does; resolves to the last status, or null. */
  async submit(spec, runS) {
    this.cluster.jobs.set(spec.nameId, { spec, runS });
    const until = performance.now() + 60_000;
    for (;;) {
      const answer = await this.ask('POST', '/submissions', spec, 5000);
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer.status;
      if (performance.now() > until) return answer?.status ?? null;
      this.move();
      await sleep(1000);
    }
  }

  async cancel(id) {
    const until = performance.now() + 60_000;
    for (;;) {
      const answer = await this.ask('POST', `/submissions/${id}/cancel`, undefined, 5000);
      if (answer?.status === 200) return answer.body.phase;
      if (performance.now() > until) return null;
      this.move();
      await sleep(1000);
    }
  }

  poll(id) {
    return this.ask('GET', `/submissions/${id}`, undefined, 2000);
  }
}
