import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicClock } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import type { ScriptedServer } from '../../net/test/scripted-server.js';
import { withScriptedServer } from '../../net/test/scripted-server.js';
import { HttpCloudProvider } from '../src/index.js';

/** Runs `use` with a client of a scripted cloud API. */
async function withCloud(
  use: (cloud: HttpCloudProvider, server: ScriptedServer) => Promise<void>,
): Promise<void> {
  await withScriptedServer((server, address) =>
    use(new HttpCloudProvider(address, 100, monotonicClock), server),
  );
}

const RENTAL = { request: 'r-17', type: 'g8', zone: 'a', spot: true, count: 12 };

test('rent distinguishes rented machines, missing capacity and refusals', async () => {
  await withCloud(async (cloud, server) => {
    server.body = { rigs: ['n-1', 'n-2'] };
    assert.deepEqual(await cloud.rent(RENTAL), { outcome: 'rented', machines: ['n-1', 'n-2'] });
    server.status = 503;
    server.body = { error: 'no capacity' };
    assert.deepEqual(await cloud.rent(RENTAL), { outcome: 'no_capacity' });
    server.body = { error: 'trouble' };
    assert.deepEqual(await cloud.rent(RENTAL), { outcome: 'refused' });
    const body = '{"hire":"r-17","build":"g8","yard":"a","loaners":true,"count":12}';
    assert.equal(server.requests[0], `POST /rentals ${body}`);
  });
});

test('rent returns an unknown outcome when the response is malformed', async () => {
  await withCloud(async (cloud, server) => {
    server.body = { rigs: [7] };
    assert.deepEqual(await cloud.rent(RENTAL), { outcome: 'unknown' });
  });
});

test('release returns true only after a response of 200', async () => {
  await withCloud(async (cloud, server) => {
    const machines = ['n-1' as MachineId];
    assert.equal(await cloud.release(machines, 1), true);
    server.status = 503;
    assert.equal(await cloud.release(machines, 1), false);
    assert.equal(server.requests[0], 'POST /rentals/release {"rigs":["n-1"]}');
  });
});

test('listMachines requests each page from the last machine of the preceding page', async () => {
  await withCloud(async (cloud, server) => {
    const rig = (nameId: string): Record<string, unknown> => ({
      nameId,
      address: '10.1.0.1:9000',
      build: 'g8',
      yard: 'a',
      loaners: false,
      phase: 'starting',
      ageS: 1,
    });
    server.body = { rigs: [rig('n-1')], more: true };
    const listed = cloud.listMachines();
    while (server.requests.length === 0) await new Promise((resolve) => setImmediate(resolve));
    server.body = { rigs: [rig('n-2')], more: false };
    const machines = await listed;
    assert.deepEqual(
      machines?.map((machine) => [machine.id, machine.phase]),
      [
        ['n-1', 'booting'],
        ['n-2', 'booting'],
      ],
    );
    assert.deepEqual(server.requests, ['GET /rentals?most=500', 'GET /rentals?from=n-1&most=500']);
  });
});

test('listMachines and listMachineTypes return null when the cloud responds with 503', async () => {
  await withCloud(async (cloud, server) => {
    server.status = 503;
    assert.equal(await cloud.listMachines(), null);
    assert.equal(await cloud.listMachineTypes(), null);
  });
});
