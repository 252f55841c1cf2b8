/** Whether an HTTP status means success (RFC 9110, class 2xx). */
export const isSuccessStatus = (status: number): boolean => status >= 200 && status < 300;
