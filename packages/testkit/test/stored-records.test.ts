/**
 * Compares the format of stored records with records that the version before the renaming of December 2026 wrote.
 * Decoding and encoding must reproduce their text, so that either version can take over the records of the other.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeHead as decodeConfigurationHead,
  decodeHistory,
  decodeObjectives,
  decodePage,
  encodeHead as encodeConfigurationHead,
  encodeHistory,
  encodeObjectives,
  encodePage,
  HEAD_KEY,
  OBJECTIVES_KEY,
  historyKey,
  pageKey,
} from '@spurbridge/configuration';
import { decodeGraph as decodeGraphHead, encodeGraph as encodeGraphHead } from '@spurbridge/graph-service';
import {
  Job,
  chunkKey,
  decodeJob,
  encodeChunk,
  encodeJob,
  encodeCompactedJob,
  jobKey,
  restoreChunk,
} from '@spurbridge/model';
import type { ContributionMarker } from '@spurbridge/recovery';
import {
  EPOCH_KEY,
  decodeEpoch,
  encodeEpoch,
  encodeMarker,
  encodePages,
  fenceKey,
  markerKey,
  contributionKeyPrefix,
  readContributions,
} from '@spurbridge/recovery';
import { decodeSnapshot, encodeSnapshot } from '@spurbridge/snapshot';
import { LEADER_KEY } from '@spurbridge/store';

/** Asserts that decoding and encoding the record reproduces its text. */
function assertRoundTrip(text: string, decodeAndEncode: (value: unknown) => unknown): void {
  assert.equal(JSON.stringify(decodeAndEncode(JSON.parse(text))), text);
}

const SPEC =
  '{"nameId":"wk-000412","lot":"train","crew":"vision","shape":"batch","rank":"high","pieces":9,"cpus":8,"accelerators":1,"memGb":64,"kit":"img-07","pullGb":6.2,"builds":["g8"],"yard":null,"oneZone":true,"scatter":false,"loaners":true,"guessS":240,"bookmarkS":30,"stowS":4,"dueS":900}';

test('keys of stored records are unchanged', () => {
  assert.deepEqual(
    [
      LEADER_KEY,
      jobKey('wk-1' as never),
      chunkKey('wk-1' as never, 2),
      EPOCH_KEY,
      fenceKey('x'),
      contributionKeyPrefix('x', 'spur-1' as never),
      markerKey('x', 'spur-1' as never),
      HEAD_KEY,
      OBJECTIVES_KEY,
      pageKey(3),
      historyKey(4),
    ],
    [
      'leader',
      'j/wk-1',
      't/wk-1/2',
      'epoch',
      'e/x',
      'm/x/spur-1/',
      'm/x/spur-1/done',
      'configuration/head',
      'configuration/objectives',
      'configuration/teams/3',
      'configuration/history/4',
    ],
  );
});

test('job records are unchanged when decoded and encoded', () => {
  for (const text of [
    `{"spec":${SPEC},"phase":"active","at":1700000000000,"chunk":256}`,
    `{"spec":${SPEC},"phase":"done","at":1700000000000.5,"chunk":4}`,
    `{"spec":${SPEC},"phase":"cancelled","at":1700000000000,"chunk":4,"graph":"g-1","cancelledAt":1700000005000}`,
  ])
    assertRoundTrip(text, (value) => encodeJob(decodeJob(value)));
  const compacted = encodeCompactedJob('wk-000412', 9, 'done');
  assert.equal(JSON.stringify(compacted), '{"over":["wk-000412",9],"phase":"done","at":0,"chunk":1}');
  assert.equal(decodeJob(compacted).phase, 'done');
});

test('task records are unchanged when decoded and encoded', () => {
  const job = new Job(
    decodeJob({ spec: JSON.parse(SPEC), phase: 'active', at: 0, chunk: 8 }).spec,
    8,
    5 as never,
    0 as never,
  );
  const first = '{"tries":7,"done":"0-2,5","placed":[[3,"n-000231",2,6],[4,"n-000232",1,7]],"abandoned":[]}';
  const second = '{"tries":1,"done":"","placed":[[8,"n-000231",2,1]],"abandoned":[]}';
  for (const [index, text] of [first, second].entries())
    restoreChunk(job, index, JSON.parse(text), 6 as never, 0 as never);
  const encoded = job.chunks.map((chunk) => JSON.stringify(encodeChunk(job, chunk)));
  assert.deepEqual(
    encoded,
    [first, second].map((text) => text.replace(',"abandoned":[]', '')),
  );
  job.abandon(6);
  const [withAbandoned] = job.chunks.map((chunk) => JSON.stringify(encodeChunk(job, chunk)));
  assert.equal(
    withAbandoned,
    '{"tries":7,"done":"0-2,5-6","placed":[[3,"n-000231",2,6],[4,"n-000232",1,7]],"abandoned":[6]}',
  );
});

test('records of epochs, contributions and their pages are unchanged when decoded and encoded', () => {
  assertRoundTrip(
    '{"number":3,"id":"abc","deployment":"def","floor":1048576,"phase":"gathering","after":2,"by":"spur-1","first":false,"continuous":true}',
    (value) => {
      const epoch = decodeEpoch(value);
      return epoch === null ? null : encodeEpoch(epoch);
    },
  );
  const marker =
    '{"pages":1,"digest":"d3ec1fa8f83b17287cbd6de4f6336252e7bc19beb182bfa40718307595ee30cf","led":41,"seen":42,"continuous":true,"lease":7}';
  const page = 'G00AAMRic6lfZqap8kxUcheBRqrDmjlHo5ytpIHpzGIqw0uYqnjNCT4hTrf6yAk/BOPYtooKpjOHGXpb6nwl+NoPIQA=';
  const items = [
    { key: 'm/x/spur-1/0', value: { text: page }, version: 9 as never },
    { key: 'm/x/spur-1/done', value: JSON.parse(marker) as unknown, version: 9 as never },
  ];
  const contributions = readContributions(items, (what) => {
    assert.fail(what);
  });
  assert.equal(contributions.length, 1);
  assert.equal(JSON.stringify(encodeMarker(contributions[0]?.marker as ContributionMarker)), marker);
  const { pages, digest } = encodePages(contributions[0]?.repairs ?? [], 16);
  assert.deepEqual([pages, digest], [[page], (JSON.parse(marker) as { digest: string }).digest]);
});

test('records of the configuration are unchanged when decoded and encoded', () => {
  assertRoundTrip('{"version":4,"pages":[1,4],"objectives":2,"changeId":"c-9","segment":3}', (value) =>
    encodeConfigurationHead(decodeConfigurationHead(value)),
  );
  assertRoundTrip('{"version":4,"teams":[["red",16,40,4,null,0],["blue",0,null,0,0,1]]}', (value) =>
    encodePage(decodePage(value)),
  );
  assertRoundTrip(
    '{"version":2,"objectives":[{"kind":"wait","class":"web","withinS":2,"share":0.94,"times":null},{"kind":"guarantee","class":null,"withinS":10,"share":0.95,"times":null}]}',
    (value) => encodeObjectives(decodeObjectives(value)),
  );
  assertRoundTrip(
    '{"entries":[{"version":4,"changeId":"c-9","author":"me","at":1700000000000,"differences":[{"path":"teams.red.cpus","from":"16","to":"18"}],"more":0}]}',
    (value) => encodeHistory(decodeHistory(value)),
  );
});

test('records of task graphs are unchanged when decoded and encoded', () => {
  assertRoundTrip(
    '{"head":{"graph":"gr-1","class":"build","team":"red","priority":"normal"},"phase":"sealed","tasks":3,"batches":2,"cancelled":[["b.1",true]],"tally":{"done":1,"failed":1,"cancelled":1,"failures":["b.0"]}}',
    (value) => encodeGraphHead(decodeGraphHead(value)),
  );
});

test('snapshots are unchanged when decoded and encoded', () => {
  const bytes = Buffer.from(
    '7b22666f726d6174223a22737075726272696467652d736e617073686f74222c2276657273696f6e223a312c226465706c6f796d656e74223a226f757273222c2265706f6368223a322c227265766973696f6e223a392c2274616b656e4174223a313730303030303030303030302c227265636f726473223a322c22706c61696e4279746573223a37302c22646967657374223a2263346333666332643035663337373330383836383265303930303130636434356134393265333036396537663266383334343434396261353362356231333965227d0a1b45000004a2cd4dfbcd2f26d4e2b4feff2021642d91524398ab0834521dd6a8ca19bf2b2464157ee33e4aaf4636ca3eda5b8d898b32a6b8209b1e4fabddc869e20e',
    'hex',
  );
  const snapshot = decodeSnapshot(bytes);
  const entries = [...snapshot.keys()].map((key) => [key, snapshot.get(key)] as const);
  const { deployment, epoch, revision, takenAt } = snapshot;
  const encoded = encodeSnapshot({ deployment, epoch, revision, takenAt }, entries as never);
  assert.equal(encoded.toString('hex'), bytes.toString('hex'));
});
