/**
 * The `cardamomladder` command line, but for the instance, whose platform the
 * binary adds. Each command is a thin wrapper over a library function in
 * `commands/`; exit codes: 0 done, 1 failed, 2 bad input (settings, document,
 * arguments), 3 stale document.
 */
import type { CAC } from 'cac';
import { cac } from 'cac';
import { applyCommand, showCommand, validateCommand } from './commands/console';
import { checkCommand } from './commands/check';
import { demoCommand } from './commands/demo';
import { entryCommand } from './commands/entry';
import { explainCommand } from './commands/explain';
import { loadCommand } from './commands/load';
import { platformCommand, targetCommand } from './commands/standin';

const run = (work: Promise<number>) => {
  work.then(
    (code) => process.exit(code),
    (error: Error) => {
      console.error(error.message);
      process.exit(1);
    },
  );
};

const addEntry = (cli: CAC): void => {
  cli
    .command('entry', 'Run one entry daemon')
    .option('--settings <file>', 'Settings JSON file (see docs/configuration.md)')
    .action((o: { settings?: string }) => {
      if (!o.settings) {
        console.error(
          'give --settings <file>: the entry needs its id, failure domain and platform url',
        );
        process.exit(2);
      }
      run(entryCommand(o.settings));
    });
};

const addConsole = (cli: CAC): void => {
  cli
    .command('console <action> [file]', "Operators' document: validate <file>, apply <file>, show")
    .option('--platform <url>', 'Platform service URL', { default: 'http://127.0.0.1:7400' })
    .option('--key <key>', 'KV key of the document', { default: 'cardamomladder/document' })
    .action((action: string, file: string | undefined, o: { platform: string; key: string }) => {
      if (action === 'show') run(showCommand(o.platform, o.key));
      else if ((action === 'validate' || action === 'apply') && file) {
        run(action === 'validate' ? validateCommand(file) : applyCommand(file, o.platform, o.key));
      } else {
        console.error('use: console validate <file> | console apply <file> | console show');
        process.exit(2);
      }
    });
};

const addStandin = (cli: CAC): void => {
  cli
    .command(
      'standin <kind>',
      'Run a stand-in: platform (KV and member list) or target (upstreams)',
    )
    .option('--host <host>', 'Listen address', { default: '127.0.0.1' })
    .option('--port <port>', 'Platform port (0: any)', { default: 7400 })
    .option('--member-lag-ms <ms>', 'How stale the member list is', { default: 1000 })
    .option('--platform <url>', 'Platform URL (target)', { default: 'http://127.0.0.1:7400' })
    .option('--service <name>', 'Service of the targets', { default: 'stada' })
    .option('--region <name>', 'Region of the targets', { default: 'reykjavik' })
    .option('--failure-domain <name>', 'Failure domain of the targets', { default: 'rvk-a' })
    .option('--count <n>', 'Upstreams to run', { default: 1 })
    .option('--slots <n>', 'Slots per upstream', { default: 9 })
    .option('--service-ms <ms>', 'Work time per request', { default: 4 })
    .option('--answer-bytes <n>', 'Answer size', { default: 600 })
    .action((kind: string, o: Record<string, string | number>) => {
      if (kind === 'platform') {
        run(
          platformCommand({
            host: String(o.host),
            port: Number(o.port),
            memberLagMs: Number(o.memberLagMs),
          }),
        );
      } else if (kind === 'target') {
        run(
          targetCommand({
            platform: String(o.platform),
            service: String(o.service),
            region: String(o.region),
            failureDomain: String(o.failureDomain),
            count: Number(o.count),
            slots: Number(o.slots),
            serviceMs: Number(o.serviceMs),
            answerBytes: Number(o.answerBytes),
            host: String(o.host),
          }),
        );
      } else {
        console.error(`unknown stand-in '${kind}'; use platform or target`);
        process.exit(2);
      }
    });
};

const addLoad = (cli: CAC): void => {
  cli
    .command('load', "Drive callers' requests through running entries")
    .option('--entry <host:port>', 'Any entry, to learn the others from')
    .option('--services <list>', 'Comma-separated services', { default: 'stada' })
    .option('--non-idempotent <list>', 'Services sent at most once, with idempotency keys', {
      default: 'boka,gatebook',
    })
    .option('--failure-domain <name>', "Caller's failure domain")
    .option('--concurrency <n>', 'Callers at once', { default: 8 })
    .option('--duration-ms <ms>', 'How long', { default: 5000 })
    .option('--max-requests <n>', 'Stop after this many')
    .action((o: Record<string, string | number | undefined>) => {
      if (!o.entry) {
        console.error('give --entry <host:port> of a running entry');
        process.exit(2);
      }
      run(
        loadCommand({
          entry: String(o.entry),
          services: String(o.services),
          nonIdempotent: String(o.nonIdempotent),
          failureDomain: o.failureDomain === undefined ? undefined : String(o.failureDomain),
          concurrency: Number(o.concurrency),
          durationMs: Number(o.durationMs),
          maxRequests: o.maxRequests === undefined ? undefined : Number(o.maxRequests),
        }),
      );
    });
};

const addDemo = (cli: CAC): void => {
  cli
    .command(
      'demo',
      'Run every role and stand-in in one process and print latency, headroom and drain time',
    )
    .option('--layout <name>', 'hraunvidd or waitaha', { default: 'hraunvidd' })
    .option('--duration-ms <ms>', 'Load time', { default: 6000 })
    .option('--concurrency <n>', 'Callers at once, across failure domains', { default: 48 })
    .option('--json', 'Print the report as JSON')
    .action((o: { layout: string; durationMs: number; concurrency: number; json?: boolean }) =>
      run(
        demoCommand({
          layout: o.layout,
          durationMs: Number(o.durationMs),
          concurrency: Number(o.concurrency),
          json: o.json,
        }),
      ),
    );
};

const addExplain = (cli: CAC): void => {
  cli
    .command(
      'explain <id> [...files]',
      'Tell the story of one request from log files or standard input',
    )
    .example('cardamomladder explain 9c41d07be2a35f68 north-1.log north-2.log')
    .action((id: string, files: string[]) => run(explainCommand(id, files)));
};

const addCheck = (cli: CAC): void => {
  cli
    .command('check <file>', "Validate an instance's settings file")
    .example('cardamomladder check settings.json')
    .action((file: string) => run(checkCommand(file)));
};

/** All commands but `instance`. */
export const commandLine = (): CAC => {
  const cli = cac('cardamomladder');
  [addEntry, addConsole, addStandin, addLoad, addDemo, addExplain, addCheck].forEach((add) =>
    add(cli),
  );
  cli.help();
  cli.version('0.1.0');
  return cli;
};
