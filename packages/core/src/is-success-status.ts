/** Whether an HTTP status tells of success (RFC 9110, class 2xx). */
export const isSuccessStatus = (status: number): boolean => status >= 200 && status < 300;
