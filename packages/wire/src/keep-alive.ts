/** Keep-alive frames, which detect dead connections. */

/** Answer to a ping. */
export const PONG = {type: 'pong'};

/** Creates a ping. If `host` is given, it names the address at which the sender listens; earlier versions ignore it. */
export const createPing = (host: string | undefined, port: number) => (host === undefined ? {type: 'ping'} : {type: 'ping', listensAt: {host, port}});

/** Whether a frame is of this type. Its other fields are not looked at, so that later versions can add some. */
export const isKeepAliveFrame = (value: unknown, type: 'ping' | 'pong'): boolean => (value as {type?: unknown} | null)?.type === type;
