import {describe, expect, it} from 'vitest';
import {parseSocketAddress} from '../../core_socket_address.js';

describe('the address of another process', () => {
  it.each([
    ['127.0.0.1:1', '127.0.0.1', 1],
    ['10.128.0.9:65535', '10.128.0.9', 65_535],
    ['[::1]:80', '::1', 80],
    ['host-1.example:8080', 'host-1.example', 8_080],
    ['x:1', 'x', 1],
    ['control_1:7000', 'control_1', 7_000],
  ])('%s has a host and a port', (text, host, port) => {
    expect(parseSocketAddress(text)).toEqual({host, port});
  });

  it.each([
    '',
    ':',
    ':80',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:70000',
    '127.0.0.1:65536',
    '127.0.0.1:080',
    '127.0.0.1:8e3',
    '127.0.0.1:-1',
    '127.0.0.1: 80',
    '999.1.1.1:80',
    '256.0.0.1:80',
    '010.0.0.1:80',
    '0x7f.1:80',
    '1.2.3:80',
    'user@host:80',
    'host/path:80',
    'host\r\nx:80',
    '::1:80',
    '[::g]:80',
    '[127.0.0.1]:80',
    'a..b:80',
  ])('%j is none', text => {
    expect(parseSocketAddress(text)).toBeUndefined();
  });

  // Guards against a connection to another host than the text seems to name.
  it.each([
    '127.0.0.1:81',
    '[::1]:81',
    'host-1.example:81',
    'x.y2:81',
    'x_1.y2:81',
  ])('%s means the same as in a URL', text => {
    const {host, port} = parseSocketAddress(text)!;
    const url = new URL(`http://${text}`);
    expect(url.hostname.replace(/^\[|\]$/g, '')).toBe(host);
    expect(Number(url.port)).toBe(port);
  });
});
