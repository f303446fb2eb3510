/** `cardamomladder demo`: runs a whole deployment in one process; see demo/runDemo.ts. */
import { layouts } from '@cardamomladder/document';
import { formatDemoReport, runDemo } from '../demo/runDemo';

/** Options of `demo`. */
export interface DemoOptions {
  layout: string;
  durationMs: number;
  concurrency: number;
  json?: boolean;
}

/** Runs the demo and prints its report; returns exit code 1 if a request was interrupted. */
export const demoCommand = async (options: DemoOptions): Promise<number> => {
  const layout = layouts[options.layout];
  if (!layout) {
    console.error(
      `unknown layout '${options.layout}'; use one of: ${Object.keys(layouts).join(', ')}`,
    );
    return 2;
  }
  const report = await runDemo(layout, options.durationMs, options.concurrency);
  console.log(options.json ? JSON.stringify(report, null, 2) : formatDemoReport(report));
  return report.cutOff === 0 ? 0 : 1;
};
