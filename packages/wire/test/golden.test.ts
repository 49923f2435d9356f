/**
 * Wire compatibility: recorded messages of an earlier version must be parsed and formatted again to the same bytes.
 * Renaming a field in the sources could otherwise rename it in the protocols, and break older nodes and workers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  PATHS,
  decodePeerMessage,
  encodePeerMessage,
  formatDirectCommands,
  formatTransaction,
  formatWatchResponse,
  formatConflict,
  formatKeyValue,
  formatKeyValuePage,
  formatLeaseId,
  formatMachineList,
  formatRentalResponse,
  formatReleaseRequest,
  formatRentalRequest,
  formatHeartbeat,
  formatHeartbeatResponse,
  formatRevision,
  formatJobStatus,
  formatSubmission,
  formatMachineTypes,
  parseWatchResponse,
  parseFailedKeys,
  parseKeyValue,
  parseKeyValuePage,
  parseLeaseId,
  parseMachineList,
  parseReleaseRequest,
  parseJobPhase,
  parseRedirect,
  parseRentalResponse,
  parseHeartbeat,
  parseRevision,
  parseSubmission,
  parseMachineTypes,
} from '../src/index.js';
import {
  parseTransaction,
  parseDirectCommands,
  parseRentalRequest,
  parseHeartbeatResponse,
} from '../src/index.js';

/** Asserts that a message has the same text after `reformat` has parsed and formatted it. */
function assertRoundTrip(text: string, reformat: (body: unknown) => unknown): void {
  assert.equal(JSON.stringify(reformat(JSON.parse(text))), text);
}

const SUBMISSIONS = [
  '{"nameId":"wk-000412","lot":"train","crew":"vision","shape":"ensemble","rank":"high","pieces":16,"cpus":8,"accelerators":1,"memGb":64,"kit":"img-07","pullGb":6.2,"builds":["g8"],"yard":null,"oneZone":true,"scatter":false,"loaners":true,"guessS":240,"bookmarkS":30,"stowS":4,"dueS":900}',
  '{"nameId":"wk-a.b_c-9","lot":"web","crew":"red","shape":"daemon","rank":"critical","pieces":3,"cpus":2.5,"accelerators":0,"memGb":3.4,"kit":"img","pullGb":0,"builds":null,"yard":"b","oneZone":false,"scatter":true,"loaners":false,"guessS":0,"bookmarkS":0,"stowS":0,"dueS":null}',
  '{"nameId":"wk-1","lot":"scan","crew":"blue","shape":"batch","rank":"idle","pieces":100000,"cpus":1,"accelerators":0,"memGb":1,"kit":"img","pullGb":1,"builds":["s4","m16"],"yard":null,"oneZone":false,"scatter":false,"loaners":true,"guessS":20,"bookmarkS":0,"stowS":0,"dueS":null}',
  '{"nameId":"wk-2","lot":"scan","crew":"blue","shape":"batch","rank":"normal","pieces":1,"cpus":1,"accelerators":0,"memGb":1,"kit":"img","pullGb":1,"builds":[],"yard":null,"oneZone":false,"scatter":false,"loaners":true,"guessS":20,"bookmarkS":0,"stowS":0,"dueS":1.5}',
];

const HEARTBEATS = [
  '{"rig":"n-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"shift":1,"tally":88,"baton":41,"recallS":null,"pieces":[{"piece":"wk-000412/3","try":2,"phase":"running"},{"piece":"wk-000398/0","try":1,"phase":"exited","cause":"done"}]}',
  '{"rig":"n-000232","address":"10.1.0.233:9000","build":"m16","yard":"b","loaners":false,"shift":7,"tally":9007199254740000,"baton":0,"recallS":12.5,"pieces":[{"piece":"wk-1/0","try":1,"phase":"fetching"},{"piece":"wk-1/1","try":1,"phase":"waiting"},{"piece":"wk-1/2","try":1,"phase":"saving"},{"piece":"wk-1/3","try":1,"phase":"exited","cause":"halted","saved":true},{"piece":"wk-1/4","try":1,"phase":"exited","cause":"halted"},{"piece":"wk-1/5","try":1,"phase":"exited","cause":"peers"},{"piece":"wk-1/6","try":1,"phase":"exited","cause":"incomplete"},{"piece":"wk-1/7","try":1,"phase":"exited","cause":"error"},{"piece":"wk-1/8","try":1,"phase":"exited","cause":"no_room"},{"piece":"wk-1/9","try":1,"phase":"exited","cause":"busy"},{"piece":"wk-1/10","try":1,"phase":"exited","cause":"no_such"}]}',
];

const COMMANDS_FIELD =
  '"orders":[{"verb":"start","piece":"wk-000412/4","try":2},{"verb":"halt","piece":"wk-000377/1","try":1,"windDownS":10},{"verb":"forget","piece":"wk-000398/0","try":1}]';

test('paths of all HTTP requests are unchanged', () => {
  assert.deepEqual(Object.values(PATHS).sort(), [
    '/agent/beat',
    '/commands',
    '/commit',
    '/flavors',
    '/follow',
    '/keys',
    '/leases',
    '/rentals',
    '/rentals/release',
    '/show',
    '/submissions',
    '/up',
  ]);
});

test('submissions keep their recorded bytes when parsed and formatted', () => {
  for (const text of SUBMISSIONS) assertRoundTrip(text, (body) => formatSubmission(parseSubmission(body)));
});

test('job status responses keep their recorded bytes in every phase', () => {
  const text = '{"nameId":"wk-000412","phase":"running","done":3,"running":13}';
  const { nameId, done, running } = JSON.parse(text) as { nameId: never; done: number; running: number };
  for (const phase of ['queued', 'running', 'done', 'cancelled'] as const)
    assert.equal(
      JSON.stringify(formatJobStatus({ id: nameId, phase: parseJobPhase({ phase }), done, running })),
      text.replace('"running","done"', `"${phase}","done"`),
    );
});

test('heartbeats keep their recorded bytes when parsed and formatted', () => {
  for (const text of HEARTBEATS) assertRoundTrip(text, (body) => formatHeartbeat(parseHeartbeat(body)));
});

test('heartbeat responses, direct commands and redirects keep their recorded form', () => {
  assertRoundTrip(`{"baton":41,${COMMANDS_FIELD}}`, (body) => {
    const response = parseHeartbeatResponse(body);
    const [token, commands] = Object.values(response) as [never, never];
    return formatHeartbeatResponse(token, commands);
  });
  assertRoundTrip(`{"baton":41,"shift":3,${COMMANDS_FIELD}}`, (body) => {
    const [token, session, commands] = Object.values(parseDirectCommands(body)) as [never, never, never];
    return formatDirectCommands(token, session, commands);
  });
  assert.equal(parseRedirect({ foreman: 'spur-2' }), 'spur-2');
  assert.equal(parseRedirect({}), null);
});

test('requests to the key-value store and its responses keep their recorded bytes', () => {
  const pair = '{"key":"a/b","value":{"x":[1,null]},"stamp":412}';
  assertRoundTrip(pair, (body) => formatKeyValue(parseKeyValue(body)));
  assertRoundTrip(`{"pairs":[${pair}],"more":true,"ledger":431}`, (body) => {
    const [items, hasMore, revision] = Object.values(parseKeyValuePage(body)) as [never, never, never];
    return formatKeyValuePage(items, hasMore, revision);
  });
  const commit =
    '{"when":[{"key":"a/b","stamp":0},{"key":"c","stamp":9}],"apply":[{"set":"a/b","value":{"y":1},"permit":7},{"set":"a/c","value":null},{"remove":"c/d"}]}';
  const compareOnly = '{"when":[{"key":"a/b","stamp":0}]}';
  for (const text of [commit, compareOnly])
    assertRoundTrip(text, (body) => {
      const [conditions, changes] = Object.values(parseTransaction(body)) as [never, never];
      return formatTransaction(conditions, changes);
    });
  assertRoundTrip('{"ledger":432}', (body) => formatRevision(parseRevision(body)));
  assertRoundTrip('{"failed":["a/b"],"ledger":431}', (body) =>
    formatConflict(parseFailedKeys(body), parseRevision(body)),
  );
  assertRoundTrip('{"permit":7}', (body) => formatLeaseId(parseLeaseId(body)));
  assertRoundTrip(
    '{"ledger":433,"log":[{"set":"c/9","value":{"z":2},"stamp":433},{"remove":"c/d","stamp":432}]}',
    (body) => {
      const [revision, events] = Object.values(parseWatchResponse(body)) as [never, never];
      return formatWatchResponse(revision, events);
    },
  );
});

test('requests to the cloud and its responses keep their recorded bytes', () => {
  assertRoundTrip('{"hire":"r-17","build":"g8","yard":"a","loaners":true,"count":12}', (body) =>
    formatRentalRequest(parseRentalRequest(body)),
  );
  for (const [format, parse] of [
    [formatRentalResponse, parseReleaseRequest],
    [formatReleaseRequest, parseReleaseRequest],
    [formatReleaseRequest, parseRentalResponse],
  ] as const)
    assertRoundTrip('{"rigs":["n-000231","n-000232"]}', (body) => format(parse(body)));
  assertRoundTrip(
    '{"builds":[{"sku":"g8","cpus":96,"accelerators":8,"memGb":768,"cacheGb":200,"fetchGbPerS":1,"hourly":12,"marketPrice":4.5,"readyS":45,"yards":["a","b"]}]}',
    (body) => formatMachineTypes(parseMachineTypes(body)),
  );
  assertRoundTrip(
    '{"rigs":[{"nameId":"n-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"phase":"running","ageS":61.5},{"nameId":"n-000232","address":"","build":"s4","yard":"b","loaners":false,"phase":"starting","ageS":0},{"nameId":"n-000233","address":"x:1","build":"s4","yard":"b","loaners":false,"phase":"failed","ageS":3}],"more":false}',
    (body) => {
      const [machines, hasMore] = Object.values(parseMachineList(body)) as [never, never];
      return formatMachineList(machines, hasMore);
    },
  );
});

/** Frames between controllers, in hexadecimal: a status, progress, forwarded heartbeats and the responses to them. */
const FRAMES = [
  '410a3f0a06737075722d311100000000008044401a06737075722d3220012803310000000000488840380140014a0361626350015801600c6801700478058001fa01',
  '500a360a06737075722d311100000000008044401a0020012803310000000000488840380140014a0050015801600c6801700478058001fa01120a0a04776b2d3110031804120a0a04776b2d3210001801',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220012803310000000000488840380040004a0361626350005800600c6800700478058001fa01',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220002803310000000000488840380140004a0361626350005800600c6800700478058001fa01',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220002803310000000000488840380040014a0361626350005800600c6800700478058001fa01',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220002803310000000000488840380040004a0361626350015800600c6800700478058001fa01',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220002803310000000000488840380040004a0361626350005801600c6800700478058001fa01',
  '410a3f0a06737075722d311100000000008044401a06737075722d3220002803310000000000488840380040004a0361626350005800600c6801700478058001fa01',
  'd1031a06737075722d3022ec0208091100000000000029401ade020a086e2d303030323332120f31302e312e302e3233333a393030301a036d31362201622801310000000000001c403920fcffffffff3f4341000000000000144048015100000000000029405a170a04776b2d31100019000000000000f03f2000280030005a170a04776b2d3110011900000000000000402001280030005a170a04776b2d3110021900000000000008402003280030005a170a04776b2d3110031900000000000010402004280230015a170a04776b2d3110051900000000000014402004280330005a170a04776b2d3110061900000000000018402004280430005a170a04776b2d311007190000000000001c402004280530005a170a04776b2d3110081900000000000020402004280630005a170a04776b2d3110091900000000000022402004280730005a170a04776b2d31100a1900000000000024402004280830005a170a04776b2d31100b190000000000002640200228003000225808001100000000000000001a4b0a086e2d303030323332120f31302e312e302e3233333a393030301a036d31362201622800310000000000001c403920fcffffffff3f434100000000000014404800510000000000000000',
  'cd011a06737075722d322a8d01080910c8011900000000008044402100000000007097402a1c08001204776b2d3118042100000000000000402900000000000000002a1c08011204776b2d3118052100000000000008402900000000000024402a1c08021204776b2d31180621000000000000f03f29000000000000000032086e2d303030323332390000000000001c404100000000000056402a33080a10f70319000000000080444021000000000000000032086e2d30303032333339000000000000f03f410000000000000040',
];

test('frames between controllers keep their recorded bytes when decoded and encoded', () => {
  for (const hex of FRAMES) {
    const decoded = decodePeerMessage(Buffer.from(hex, 'hex'));
    assert.ok(decoded !== null);
    assert.equal(Buffer.from(encodePeerMessage(decoded.message)).toString('hex'), hex);
  }
});
