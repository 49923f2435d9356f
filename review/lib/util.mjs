// Small helpers of the stand-ins.
import http from 'node:http';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export async function readJson(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return null;
  }
  const text = Buffer.concat(chunks).toString('utf8');
  if (text === '') return null;
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

export function reply(response, status, body) {
  if (response.destroyed || response.headersSent) return undefined;
  const text = JSON.stringify(body);
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
  response.end(text);
  return undefined;
}

/** Sends one request; resolves to { status, body } or to null without a response in time. */
export function call(agent, port, method, path, body, timeoutMs) {
  return new Promise((resolve) => {
    const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const headers =
      payload === undefined ? {} : { 'content-type': 'application/json', 'content-length': payload.length };
    const request = http.request({ agent, host: '127.0.0.1', port, method, path, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish(null));
      response.on('end', () => {
        let parsed = null;
        try {
          parsed = JSON.parse(Buffer.concat(chunks).toString('utf8'));
        } catch {
          // Only the status matters.
        }
        finish({ status: response.statusCode, body: parsed, headers: response.headers });
      });
    });
    let isFinished = false;
    const finish = (result) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      if (result === null) request.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish(null), timeoutMs);
    request.on('error', () => finish(null));
    request.end(payload);
  });
}

/** A token bucket. */
export class RateLimit {
  constructor(perSecond, burst) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.at = performance.now();
  }

  take(amount) {
    const now = performance.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}
