/**
 * Distributed tracing: one span per hop (caller -> entry, entry -> target
 * attempt, entry -> platform). The trace context is propagated in the W3C
 * `traceparent` header. Finished spans are logged as JSON lines in the
 * `cardamomladder:trace` namespace, next to the other logs.
 */
import type { Context, Span, Tracer } from '@opentelemetry/api';
import { context, propagation, trace } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';
import { BasicTracerProvider, SimpleSpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { logger } from './log';

const log = logger('trace');

const lineExporter: SpanExporter = {
  export(spans: ReadableSpan[], done) {
    spans.forEach((span) => {
      const ctx = span.spanContext();
      log.info(span.name, {
        traceId: ctx.traceId,
        spanId: ctx.spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        durationMs: span.duration[0] * 1e3 + span.duration[1] / 1e6,
        attributes: span.attributes,
        status: span.status.code,
      });
    });
    done({ code: 0 });
  },
  shutdown: async () => {},
};

let installed = false;

/** Installs the process-wide tracer provider; repeated calls have no effect. */
export const installTracing = (): void => {
  if (installed) return;
  installed = true;
  const provider = new BasicTracerProvider({
    spanProcessors: [new SimpleSpanProcessor(lineExporter)],
  });
  trace.setGlobalTracerProvider(provider);
  propagation.setGlobalPropagator(new W3CTraceContextPropagator());
};

/** Returns the tracer of a package, e.g. `tracer('entry')`. */
export const tracer = (name: string): Tracer => trace.getTracer(`cardamomladder.${name}`);

/** Extracts the caller's trace context from request headers. */
export const extractContext = (headers: IncomingHttpHeaders): Context =>
  propagation.extract(context.active(), headers);

/** Injects the span's trace context into request headers. */
export const injectContext = (span: Span, headers: OutgoingHttpHeaders): void => {
  propagation.inject(trace.setSpan(context.active(), span), headers);
};
