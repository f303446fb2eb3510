/** Explanations of failed requests, from log lines recorded in real runs. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { explainRequest } from '../commands/explain';

const failedRequests = {
  name: 'recorded',
  text: readFileSync(join(import.meta.dirname, '../__fixtures__/failedRequests.log.txt'), 'utf8'),
};

describe('explain', () => {
  it('tells why a request was rejected: no capacity at its targets', () => {
    expect(explainRequest('36f54d4f0acc95f9', [failedRequests])).toMatchSnapshot();
  });

  it('tells why the outcome of a booking is unknown: its connection closed after it was sent', () => {
    expect(explainRequest('fe44b98c20203345', [failedRequests])).toMatchSnapshot();
  });

  it('tells why a request ran out of time: its target did not answer', () => {
    expect(explainRequest('236d8b199255ad64', [failedRequests])).toMatchSnapshot();
  });

  it('tells why a customer was rejected: over its limit, or with an invalid key', () => {
    const file = join(import.meta.dirname, '../__fixtures__/customerRefusals.log.txt');
    const rejections = { name: 'rejections', text: readFileSync(file, 'utf8') };
    expect(explainRequest('47f8261c14fa2aeb', [rejections])).toMatchSnapshot();
    expect(explainRequest('1a76a20210d2bd2a', [rejections])).toMatchSnapshot();
  });

  it('tells why a request was held back: what its targets had reported', () => {
    const file = join(import.meta.dirname, '../__fixtures__/heldBack.log.txt');
    const heldBack = { name: 'held back', text: readFileSync(file, 'utf8') };
    expect(explainRequest('pressed-277', [heldBack])).toMatchSnapshot();
  });

  it('says when lines were left out, and ignores lines of other programs', () => {
    const text = 'garbage\n{"broken":\n{"message":"send","request":"x","leftOut":3}\n';
    expect(explainRequest('unknown', [{ name: 'log', text }])).toMatchSnapshot();
  });
});
