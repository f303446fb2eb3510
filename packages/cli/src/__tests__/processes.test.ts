/**
 * End-to-end test with separate processes, as an operator starts them: platform
 * stand-in, target stand-ins, an entry daemon, the console and the load
 * generator each run as a `node dist/cardamomladder.cjs` process. The test starts
 * them all; the daemon never starts another process.
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { existsSync } from 'node:fs';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { documentForLayout, hraunvidd } from '@cardamomladder/document';

const ROOT = join(import.meta.dirname, '../../../..');
const BIN = join(ROOT, 'dist/cardamomladder.cjs');
const children: ChildProcess[] = [];

/** Starts the CLI and resolves with the first JSON line it prints. */
const startCommand = (args: string[]): Promise<Record<string, unknown>> =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [BIN, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, DEBUG: '' },
    });
    children.push(child);
    let out = '';
    child.stdout.on('data', (chunk: Buffer) => {
      out += chunk.toString();
      const line = out.split('\n').find((l) => l.startsWith('{'));
      if (line) resolve(JSON.parse(line) as Record<string, unknown>);
    });
    child.on('exit', (code) => reject(new Error(`${args.join(' ')} exited with ${code}: ${out}`)));
  });

/** Runs the CLI to completion and returns its exit code and output. */
const runCommand = (args: string[]): Promise<{ code: number | null; out: string }> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [BIN, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, DEBUG: '' },
    });
    let out = '';
    child.stdout.on('data', (chunk: Buffer) => {
      out += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      out += chunk.toString();
    });
    child.on('exit', (code) => resolve({ code, out }));
  });

const exitCodeOf = (child: ChildProcess) =>
  new Promise<number | null>((resolve) => {
    if (child.exitCode !== null) resolve(child.exitCode);
    else child.on('exit', (code) => resolve(code));
  });

beforeAll(async () => {
  if (!existsSync(BIN)) {
    await build({
      entryPoints: [join(ROOT, 'platform/src/binary.ts')],
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      outfile: BIN,
    });
  }
}, 60_000);

afterAll(async () => {
  children.forEach((c) => c.kill('SIGKILL'));
});

describe('separate processes', () => {
  it('serves a request end to end and stops gracefully', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'cardamomladder-'));
    const platform = await startCommand([
      'standin',
      'platform',
      '--port',
      '0',
      '--member-lag-ms',
      '200',
    ]);
    const url = String(platform.url);
    await startCommand([
      'standin',
      'target',
      '--platform',
      url,
      '--service',
      'stada',
      '--region',
      'reykjavik',
      '--failure-domain',
      'rvk-a',
      '--count',
      '2',
      '--slots',
      '9',
    ]);
    const doc = join(dir, 'document.json');
    const full = documentForLayout(hraunvidd, 0);
    await writeFile(
      doc,
      JSON.stringify({
        ...full,
        services: full.services
          .filter((s) => s.name === 'stada')
          .map((s) => ({ ...s, shares: { reykjavik: 1 } })),
      }),
    );
    expect((await runCommand(['console', 'validate', doc])).code).toBe(0);
    const applied = await runCommand(['console', 'apply', doc, '--platform', url]);
    expect(applied.code).toBe(0);
    const settings = join(dir, 'entry.json');
    await writeFile(
      settings,
      JSON.stringify({
        id: 'entry-rvk-a-1',
        region: 'reykjavik',
        failureDomain: 'rvk-a',
        platform: { url },
      }),
    );
    const entry = await startCommand(['entry', '--settings', settings]);
    const address = String(entry.address);
    let status = 0;
    for (let i = 0; i < 50 && status !== 200; i += 1) {
      status = (await fetch(`http://${address}/s/stada/status/42`)).status;
      if (status !== 200)
        await new Promise((r) => {
          setTimeout(r, 100);
        });
    }
    expect(status).toBe(200);
    const load = await runCommand([
      'load',
      '--entry',
      address,
      '--services',
      'stada',
      '--concurrency',
      '4',
      '--duration-ms',
      '2000',
    ]);
    expect(load.code).toBe(0);
    const report = JSON.parse(load.out) as {
      requests: number;
      services: { p50Ms: number; p99Ms: number; ok: number; requests: number }[];
    };
    console.log(
      `processes: ${report.requests} requests, stada p50 ${report.services[0].p50Ms} ms, p99 ${report.services[0].p99Ms} ms`,
    );
    expect(report.services[0].ok).toBe(report.services[0].requests);
    children.forEach((c) => c.kill('SIGTERM'));
    expect(await Promise.all(children.map(exitCodeOf))).toEqual(children.map(() => 0));
  }, 60_000);
});
